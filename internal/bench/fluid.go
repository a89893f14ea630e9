package bench

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// bound computes, for each class, the attainment and the good tokens of a relaxed
// schedule with full knowledge of lengths and loads. The pool is one divisible
// machine without latency or prompt costs. It runs the job with the earliest
// deadline first; if a deadline would be missed, it drops the job of the lowest tier
// with the most work remaining. Requests to plain services count as met. The result is
// a reference value, not a proven upper bound.
func bound(f *fleet, calls []*call) map[string]*row {
	rows := make(map[string]*row)
	for i := range f.classes {
		rows[f.classes[i].name] = &row{class: &f.classes[i]}
	}
	speed := capacity()
	m := &fluid{speed: speed}
	for _, k := range calls {
		r := rows[k.class.name]
		r.calls++
		if k.class.service {
			r.met++
			continue
		}
		m.arrive(k)
	}
	m.advance(calls[len(calls)-1].at + drainLimit)
	for _, k := range m.done {
		r := rows[k.class.name]
		r.met++
		r.good += k.output
	}
	return rows
}

type fluidJob struct {
	call      *call
	remaining float64
	deadline  time.Duration
}

// fluid is the divisible machine.
type fluid struct {
	speed float64
	now   time.Duration
	jobs  []*fluidJob
	done  []*call
}

func (m *fluid) arrive(k *call) {
	m.advance(k.at)
	deadline := k.at + k.class.first + time.Duration(k.output-1)*k.class.between
	j := &fluidJob{call: k, remaining: float64(k.output), deadline: deadline}
	at, _ := slices.BinarySearchFunc(m.jobs, j, func(a, b *fluidJob) int { return int(a.deadline - b.deadline) })
	m.jobs = slices.Insert(m.jobs, at, j)
	m.prune()
}

// prune drops jobs until the others meet their deadlines.
func (m *fluid) prune() {
	for {
		at := m.missed()
		if at < 0 {
			return
		}
		victim := 0
		for i := range m.jobs[:at+1] {
			a, b := m.jobs[i], m.jobs[victim]
			if a.call.class.tier > b.call.class.tier || a.call.class.tier == b.call.class.tier && a.remaining > b.remaining {
				victim = i
			}
		}
		m.jobs = slices.Delete(m.jobs, victim, victim+1)
	}
}

func (m *fluid) missed() int {
	work := 0.0
	for i, j := range m.jobs {
		work += j.remaining
		if m.now+number.Seconds(work/m.speed) > j.deadline {
			return i
		}
	}
	return -1
}

func (m *fluid) advance(to time.Duration) {
	work := (to - m.now).Seconds() * m.speed
	m.now = to
	for len(m.jobs) > 0 {
		j := m.jobs[0]
		if j.remaining > work {
			j.remaining -= work
			return
		}
		work -= j.remaining
		m.done = append(m.done, j.call)
		m.jobs = m.jobs[1:]
	}
}
