package queue

import (
	"container/heap"
	"time"
)

const (
	// agingInterval is the wait after which a class accrues credit at twice its
	// share; the rate keeps growing linearly with the wait.
	agingInterval = 4 * time.Second
	// maxCredit bounds the credit of a class, in tokens.
	maxCredit = 20000
)

// classQueue holds the waiting items of a class, the oldest first, and the class's credit:
// the tokens of service that its guaranteed share has accrued while it waited.
type classQueue struct {
	items  arrivals
	share  float64
	credit float64
}

// arrivals is a heap ordered by Arrived.
type arrivals []*Item

func (a arrivals) Len() int { return len(a) }
func (a arrivals) Less(i, j int) bool {
	if a[i].Arrived.Equal(a[j].Arrived) {
		return a[i].ID < a[j].ID
	}
	return a[i].Arrived.Before(a[j].Arrived)
}
func (a arrivals) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].classIndex, a[j].classIndex = i, j
}
func (a *arrivals) Push(x any) {
	item := x.(*Item)
	item.classIndex = len(*a)
	*a = append(*a, item)
}
func (a *arrivals) Pop() any {
	old := *a
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return item
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

func (c *classQueue) push(item *Item) { heap.Push(&c.items, item) }

func (c *classQueue) remove(item *Item) { heap.Remove(&c.items, item.classIndex) }

func (c *classQueue) oldest() *Item {
	if len(c.items) == 0 {
		return nil
	}
	return c.items[0]
}

// SetShare sets the guaranteed share of a class, 0 to 1.
func (q *Queue) SetShare(class string, share float64) { q.classOf(class).share = share }

// ClassLen returns the number of waiting requests of the class.
func (q *Queue) ClassLen(class string) int { return len(q.classOf(class).items) }

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
		item := c.oldest()
		if item == nil || c.credit <= 0 || now.Sub(item.Arrived) < item.Due.Sub(item.Arrived)/2 {
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
