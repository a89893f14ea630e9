package queue

import "time"

const (
	// ageing is the wait after which a class's share counts double; it grows on.
	ageing = 4 * time.Second
	// maxCredit bounds what a class can save up, in tokens.
	maxCredit = 20000
)

// classQueue keeps the oldest of a class at hand, and the class's credit: the
// tokens of service that its guaranteed share has earned while it waited.
type classQueue struct {
	items   []*Item
	head    int
	waiting int
	share   float64
	credit  float64
}

func (q *Queue) classOf(name string) *classQueue {
	c := q.classes[name]
	if c == nil {
		c = &classQueue{}
		q.classes[name] = c
		q.names = append(q.names, name)
	}
	return c
}

func (c *classQueue) push(item *Item) {
	if c.head > 64 && c.head > len(c.items)/2 {
		c.items = append(c.items[:0], c.items[c.head:]...)
		c.head = 0
	}
	c.items = append(c.items, item)
}

func (c *classQueue) oldest() *Item {
	for c.head < len(c.items) {
		if item := c.items[c.head]; item.waiting {
			return item
		}
		c.items[c.head] = nil
		c.head++
	}
	c.items, c.head = c.items[:0], 0
	return nil
}

// SetShare sets the guaranteed share of a class, 0 to 1.
func (q *Queue) SetShare(class string, share float64) { q.classOf(class).share = share }

// ClassLen returns the number of the class's requests that wait.
func (q *Queue) ClassLen(class string) int { return q.classOf(class).waiting }

// AccrueCredit earns credit for every class that waits, by its share of the tokens
// just given out, and more the longer its oldest request has waited.
func (q *Queue) AccrueCredit(class string, tokens float64, now time.Time) {
	for _, name := range q.names {
		c := q.classes[name]
		if name == class {
			continue
		}
		oldest := c.oldest()
		if oldest == nil {
			c.credit = 0
			continue
		}
		age := max(now.Sub(oldest.Arrived), 0)
		c.credit = min(c.credit+tokens*c.share*(1+age.Seconds()/ageing.Seconds()), maxCredit)
	}
}

// NextByCredit returns the oldest request of the class whose share is owed to it by
// now, or nil. Of several, the one with the most credit over its cost. A share
// is not called in before half of the time to the latest start has passed:
// until then the request may get its turn without it.
func (q *Queue) NextByCredit(now time.Time) *Item {
	var best *Item
	most := 0.0
	for _, name := range q.names {
		c := q.classes[name]
		if c.waiting == 0 || c.credit <= 0 {
			continue
		}
		item := c.oldest()
		if item == nil || now.Sub(item.Arrived) < item.Due.Sub(item.Arrived)/2 {
			continue
		}
		if over := c.credit - item.Cost; over >= 0 && (best == nil || over > most) {
			best, most = item, over
		}
	}
	return best
}

// SpendCredit takes the item's cost out of its class's credit.
func (q *Queue) SpendCredit(item *Item) {
	c := q.classOf(item.Class)
	c.credit = max(c.credit-item.Cost, 0)
}
