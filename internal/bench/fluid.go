package bench

import (
	"slices"
	"time"
)

// bound gives, for each class, the attained share and the good tokens of a
// relaxed schedule that knows all lengths and loads: the pool is one machine
// without latency or prompt costs, divisible at will, that runs the earliest
// latest-end first and gives up the lowest tier's largest rest where an end
// would be missed. Plain services count as met. It is an upper mark, no proof.
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
	call *call
	left float64
	end  time.Duration
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
	end := k.at + k.class.first + time.Duration(k.output-1)*k.class.between
	j := &fluidJob{call: k, left: float64(k.output), end: end}
	at, _ := slices.BinarySearchFunc(m.jobs, j, func(a, b *fluidJob) int { return int(a.end - b.end) })
	m.jobs = slices.Insert(m.jobs, at, j)
	m.prune()
}

// prune gives up jobs until the rest meet their ends.
func (m *fluid) prune() {
	for {
		at := m.missed()
		if at < 0 {
			return
		}
		victim := 0
		for i := range m.jobs[:at+1] {
			a, b := m.jobs[i], m.jobs[victim]
			if a.call.class.tier > b.call.class.tier || a.call.class.tier == b.call.class.tier && a.left > b.left {
				victim = i
			}
		}
		m.jobs = slices.Delete(m.jobs, victim, victim+1)
	}
}

func (m *fluid) missed() int {
	work := 0.0
	for i, j := range m.jobs {
		work += j.left
		if m.now+time.Duration(work/m.speed*float64(time.Second)) > j.end {
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
		if j.left > work {
			j.left -= work
			return
		}
		work -= j.left
		m.done = append(m.done, j.call)
		m.jobs = m.jobs[1:]
	}
}
