package bench

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// serviceTime is the median time of one call to a plain service.
	serviceTime  = 60 * time.Millisecond
	serviceSigma = 0.5
	// serviceQueue is the capacity of a service's queue; a service refuses further calls.
	serviceQueue = 64
)

// service is a plain service with slots and a queue. Its answers have no tokens.
type service struct {
	world      *world
	name       string
	dataCenter string
	running    int
	waiting    []*job
	reports    []report
}

func (s *service) accept(j *job) bool {
	if len(s.waiting) >= serviceQueue {
		return false
	}
	s.waiting = append(s.waiting, j)
	s.schedule()
	return true
}

func (s *service) schedule() {
	for s.running < serviceSlots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.stopped {
			continue
		}
		s.run(j)
	}
}

func (s *service) run(j *job) {
	s.running++
	j.call.ran()
	length := number.Duration(float64(serviceTime) * math.Exp(serviceSigma*s.world.random.NormFloat64()))
	s.world.clock.after(length, func() {
		s.running--
		if !j.stopped {
			s.world.deliver(s.dataCenter, j, true)
		}
		s.schedule()
	})
}
