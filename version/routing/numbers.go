package routing

import (
	"fmt"
	"time"
)

const (
	// maxPeriod bounds the times of a document, maxCount its counts and weights, and maxSize its
	// sizes in bytes or tokens: sums and conversions of them don't overflow.
	maxPeriod = 30 * 24 * time.Hour
	maxCount  = 1 << 30
	maxSize   = 1 << 40
)

// boundedNumber is a number of a document, of which only 0 to most makes sense.
type boundedNumber struct {
	name        string
	value, most int64
}

func (d *Document) validateNumbers() error {
	l := &d.Limits
	if err := checkNumbers("the limits", []boundedNumber{
		{"header size", int64(l.HeaderBytes), maxSize}, {"body size", l.BodyBytes, maxSize},
		{"header timeout", int64(l.HeaderTimeout), int64(maxPeriod)}, {"idle timeout", int64(l.IdleTimeout), int64(maxPeriod)},
	}); err != nil {
		return err
	}
	for i := range d.Routes {
		if err := d.Routes[i].validateNumbers(); err != nil {
			return err
		}
	}
	for i := range d.Services {
		if err := d.Services[i].validateNumbers(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validateNumbers() error {
	numbers := []boundedNumber{
		{"timeout", int64(r.Timeout), int64(maxPeriod)}, {"target latency", int64(r.TargetLatency), int64(maxPeriod)},
		{"event gap", int64(r.EventGap), int64(maxPeriod)}, {"maximum of attempts", int64(r.MaxAttempts), maxCount},
	}
	for _, backend := range r.Backends {
		numbers = append(numbers, boundedNumber{"weight", int64(backend.Weight), maxCount})
	}
	return checkNumbers(fmt.Sprintf("route %q", r.Name), numbers)
}

func (s *Service) validateNumbers() error {
	numbers := []boundedNumber{{"connection limit", int64(s.Connections), maxCount}}
	if e := s.Engine; e != nil {
		numbers = append(numbers, boundedNumber{"slots", int64(e.Slots), maxCount}, boundedNumber{"cache size", int64(e.CacheTokens), maxSize},
			boundedNumber{"tokens of an event", int64(e.EventTokens), maxCount}, boundedNumber{"time to fetch a token", int64(e.FetchTime), int64(maxPeriod)})
	}
	if c := s.Scaling; c != nil {
		numbers = append(numbers, boundedNumber{"minimum", int64(c.Minimum), maxCount}, boundedNumber{"maximum", int64(c.Maximum), maxCount},
			boundedNumber{"boot time", int64(c.BootTime), int64(maxPeriod)})
	}
	return checkNumbers(fmt.Sprintf("service %q", s.Name), numbers)
}

func checkNumbers(item string, numbers []boundedNumber) error {
	for _, n := range numbers {
		if n.value < 0 || n.value > n.most {
			return invalid("%s has a %s below 0 or too large; set one that is 0 or more", item, n.name)
		}
	}
	return nil
}
