package queue

import "time"

const (
	// agingInterval is the wait after which a class accrues credit at twice its
	// share; the rate keeps growing linearly with the wait.
	agingInterval = 4 * time.Second
	// maxCredit bounds the credit of a class, in tokens.
	maxCredit = 20000
)

// classQueue holds the items of a class in arrival order, and the class's credit:
// the tokens of service that its guaranteed share has accrued while it waited.
// Items that no longer wait are dropped lazily.
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
		q.classNames = append(q.classNames, name)
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

// ClassLen returns the number of waiting requests of the class.
func (q *Queue) ClassLen(class string) int { return q.classOf(class).waiting }

// AccrueCredit records that tokens were served to the given class and adds credit
// to every other class with waiting requests, in proportion to its share and to the
// wait of its oldest request. Classes without waiting requests lose their credit.
func (q *Queue) AccrueCredit(class string, tokens float64, now time.Time) {
	for _, name := range q.classNames {
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
		c.credit = min(c.credit+tokens*c.share*(1+age.Seconds()/agingInterval.Seconds()), maxCredit)
	}
}

// NextByCredit returns the oldest request of a class whose credit covers the cost
// of that request, or nil. Among several, it returns the one with the most credit
// left over. A request is eligible only after half of the time to its latest start
// has passed: until then it may start without using credit.
func (q *Queue) NextByCredit(now time.Time) *Item {
	var best *Item
	mostLeft := 0.0
	for _, name := range q.classNames {
		c := q.classes[name]
		if c.waiting == 0 || c.credit <= 0 {
			continue
		}
		item := c.oldest()
		if item == nil || now.Sub(item.Arrived) < item.Due.Sub(item.Arrived)/2 {
			continue
		}
		if left := c.credit - item.Cost; left >= 0 && (best == nil || left > mostLeft) {
			best, mostLeft = item, left
		}
	}
	return best
}

// SpendCredit deducts the item's cost from its class's credit.
func (q *Queue) SpendCredit(item *Item) {
	c := q.classOf(item.Class)
	c.credit = max(c.credit-item.Cost, 0)
}
