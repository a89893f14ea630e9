package proof

import (
	"time"

	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// faults injects random faults at random intervals until the run is healed.
func (s *sim) faults() {
	if s.healed {
		return
	}
	n := s.nodes[s.faultRNG.IntN(len(s.nodes))]
	if leader := s.leader(); leader != nil && s.faultRNG.IntN(2) == 0 {
		n = leader
	}
	if n.runner != nil {
		s.fault(n)
	}
	s.after(time.Duration(s.faultRNG.Int64N(int64(s.profile.faultGap))), s.faults)
}

func (s *sim) fault(n *node) {
	switch s.faultRNG.IntN(s.profile.kinds) {
	case 0, 1:
		n.kill()
	case 2, 3:
		n.disk.CrashDuring(1 + s.faultRNG.IntN(12))
	case 4:
		n.freeze(time.Duration(s.faultRNG.Int64N(int64(2 * time.Second))))
	case 5:
		n.freeze(20 * time.Second)
	case 6, 7:
		s.cutOff(n, true, true)
	case 8:
		out := s.faultRNG.IntN(2) == 0
		s.cutOff(n, out, !out)
	case 9:
		s.fillDisk(n)
	case 10:
		n.disk.FailNextSync()
	case 11:
		s.emptyDisk(n)
	case 12:
		s.partition()
	case 13:
		s.shutDown(n)
	}
}

// partition splits the processes into two random sides that do not reach each other.
func (s *sim) partition() {
	side := map[string]bool{}
	for _, n := range s.nodes {
		side[n.name] = s.faultRNG.IntN(2) == 0
	}
	for _, n := range s.nodes {
		if side[n.name] {
			continue
		}
		for _, other := range s.nodes {
			if side[other.name] {
				s.cutLinks([]string{n.name + ">" + other.name, other.name + ">" + n.name})
			}
		}
	}
}

// shutDown ends a process gracefully: a leader transfers leadership first.
func (s *sim) shutDown(n *node) {
	s.note("%s shuts down", n.name)
	n.process(replica.Request{Event: replica.TransferLeadership{}})
	runner := n.runner
	s.after(election, func() {
		if n.runner == runner {
			n.kill()
		}
	})
}

// cutOff drops all messages from the node (out) or to it (in) for up to 10 s.
func (s *sim) cutOff(n *node, out, in bool) {
	s.note("%s cut off, out %t, in %t", n.name, out, in)
	var links []string
	for _, other := range s.nodes {
		if out && other != n {
			links = append(links, n.name+">"+other.name)
		}
		if in && other != n {
			links = append(links, other.name+">"+n.name)
		}
	}
	s.cutLinks(links)
}

func (s *sim) cutLinks(links []string) {
	for _, link := range links {
		s.cut[link] = true
	}
	s.after(time.Duration(s.faultRNG.Int64N(int64(10*time.Second))), func() {
		for _, link := range links {
			delete(s.cut, link)
		}
	})
}

func (s *sim) fillDisk(n *node) {
	s.note("%s disk full", n.name)
	n.disk.LimitSpace(s.faultRNG.IntN(300))
	s.after(time.Duration(s.faultRNG.Int64N(int64(6*time.Second))), func() { n.disk.LimitSpace(memdisk.Unlimited) })
}

// emptyDisk replaces the node's disk by an empty one, unless the repair of another
// lost disk is still in progress: three voters do not survive the loss of two disks.
func (s *sim) emptyDisk(n *node) {
	if s.lost != "" || !s.allVoters() {
		return
	}
	s.lost = n.name
	s.invariants.diskLost(n)
	n.kill()
	n.disk = memdisk.New()
	s.note("%s lost its disk", n.name)
}

// allVoters reports whether all processes are voters under their current identities.
func (s *sim) allVoters() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	voters := map[string]bool{}
	status := leader.runner.Status()
	for _, member := range status.Members {
		voters[member.GetId()] = member.GetVoter()
	}
	for _, n := range s.nodes {
		if !voters[n.identity()] {
			return false
		}
	}
	return len(voters) == len(s.nodes)
}

// repaired ends the loss of a disk. In half of the cases another disk is lost
// immediately afterwards.
func (s *sim) repaired(name string) {
	s.note("%s repaired", name)
	if s.lost != name {
		return
	}
	s.lost = ""
	if s.faultRNG.IntN(2) == 0 && !s.healed {
		other := s.nodes[s.faultRNG.IntN(len(s.nodes))]
		s.after(0, func() {
			if other.runner != nil {
				s.emptyDisk(other)
			}
		})
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.note("healed")
	s.healed = true
	s.cut, s.extraDelay = map[string]bool{}, map[string]time.Duration{}
	s.loss, s.dup = 0, 0
	if s.entries != nil {
		for _, e := range s.entries.list {
			e.frozenUntil = min(e.frozenUntil, s.now)
		}
	}
	for _, n := range s.nodes {
		n.disk.Heal()
		if n.runner == nil {
			n.start()
		}
		if s.now < n.frozenUntil {
			n.frozenUntil = s.now
		}
	}
}

// settled reports whether all processes are voters and have applied the whole log.
func (s *sim) settled() bool {
	if !s.allVoters() {
		return false
	}
	last := s.leader().runner.Status().LastIndex
	for _, n := range s.nodes {
		if n.runner == nil || n.runner.Status().AppliedIndex != last || n.runner.Status().Role == replica.Waiting {
			return false
		}
	}
	return true
}
