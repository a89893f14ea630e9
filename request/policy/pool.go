package policy

import (
	"slices"

	"github.com/lilacbridge/lilacbridge/version/model"
)

// pool is a model or service with its servers and what waits for it.
type pool struct {
	name    string
	servers []*server
	queues  [model.Tiers][]*request
}

func (p *pool) waiting() int {
	sum := 0
	for _, queue := range p.queues {
		sum += len(queue)
	}
	return sum
}

func (p *pool) push(r *request) {
	tier := r.tier()
	p.queues[tier] = append(p.queues[tier], r)
}

func (p *pool) remove(r *request) {
	tier := r.tier()
	if i := slices.Index(p.queues[tier], r); i >= 0 {
		p.queues[tier] = slices.Delete(p.queues[tier], i, i+1)
	}
}

// next returns the oldest of the most urgent tier that waits, or nil.
func (p *pool) next() *request {
	for _, queue := range p.queues {
		if len(queue) > 0 {
			return queue[0]
		}
	}
	return nil
}

// lowestTier returns the least urgent tier that waits, or -1.
func (p *pool) lowestTier() int {
	for tier := len(p.queues) - 1; tier >= 0; tier-- {
		if len(p.queues[tier]) > 0 {
			return tier
		}
	}
	return -1
}

// lowest returns the newest of the least urgent tier that waits.
func (p *pool) lowest() *request {
	queue := p.queues[p.lowestTier()]
	return queue[len(queue)-1]
}
