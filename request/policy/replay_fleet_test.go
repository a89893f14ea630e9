package policy

import (
	"slices"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// tellWhoLives names each instance the others.
func (r *replay) tellWhoLives() {
	for i, c := range r.cores {
		var others []Instance
		for j, other := range r.cores {
			if i != j {
				others = append(others, Instance{other.options.Instance, other.options.DataCenter})
			}
		}
		c.Step(r.now, Fleet{Others: others})
	}
}

// withBoards makes the fleet a large one, whose instances tell loads by boards alone.
func (r *replay) withBoards() *replay {
	var all []member.Peer
	for _, c := range r.cores {
		all = append(all, member.Peer{Name: c.options.Instance, DataCenter: c.options.DataCenter})
	}
	for i, self := range all {
		board := loadboard.New(self)
		board.SetPeers(slices.Delete(slices.Clone(all), i, i+1))
		r.boards = append(r.boards, board)
	}
	return r
}

// tellLoads has each instance take its loads anew and say what is due.
func (r *replay) tellLoads() {
	byName := make(map[string]int, len(r.cores))
	for i, c := range r.cores {
		byName[c.options.Instance] = i
		r.boards[i].SetOwn(r.now, c.Loads(r.now))
		if others, known := r.boards[i].Others(r.now); known {
			r.apply(c, c.Step(r.now, PeerLoads{Word: others}))
		}
	}
	for i, board := range r.boards {
		own := r.cores[i].options
		for _, ask := range board.Due(r.now) {
			answer := r.boards[byName[ask.Peer.Name]].Receive(r.now, own.Instance, own.DataCenter, ask.Word)
			board.Answered(r.now, ask.Peer, answer)
		}
		board.Forget(r.now)
	}
}

// comeBack sends the requests again whose time to return has come, to any instance.
func (r *replay) comeBack() {
	for i := 0; i < len(r.returning); {
		if r.now.Before(r.dueBack[i]) {
			i++
			continue
		}
		a := r.returning[i]
		r.returning, r.dueBack = slices.Delete(r.returning, i, i+1), slices.Delete(r.dueBack, i, i+1)
		r.send(a)
	}
}

// send gives the request to an instance.
func (r *replay) send(a Arrival) {
	r.arrived[a.ID] = a
	c := r.cores[r.random.IntN(len(r.cores))]
	r.apply(c, c.Step(r.now, a))
}

// refuse ends a request, unless its caller comes back.
func (r *replay) refuse(a Refuse) {
	end, arrival := r.ends[a.ID], r.arrived[a.ID]
	if r.refused != nil {
		r.refused(a)
	}
	if r.returns && !end.returned && a.RetryAfter > 0 && a.RetryAfter <= arrival.Deadline.Sub(r.now)/3 {
		r.attempts++
		end.returned = true
		arrival.ID = returnedIDs + r.attempts
		r.ends[arrival.ID] = end
		r.returning, r.dueBack = append(r.returning, arrival), append(r.dueBack, r.now.Add(a.RetryAfter))
		return
	}
	end.refused, end.ended = true, r.now
}

// returnedIDs are above those of first attempts.
const returnedIDs ID = 1 << 32
