package proof

import "time"

// profile configures one kind of run.
type profile struct {
	name string
	// faultTime is the part of the run with faults, at most faultGap apart.
	faultTime, faultGap time.Duration
	// pause is the longest pause between two calls of an operator.
	pause time.Duration
	// kinds is the number of kinds of faults that may occur; see sim.fault.
	kinds int
	// delaySpikes is the percentage of messages delayed by up to 4 s.
	delaySpikes int
	// nodes is the number of processes; 0 means three or, in one run of five, five.
	nodes int
	// appendBytes limits the size of the entries in one message.
	appendBytes int
	// chunkBytes is the size of a snapshot chunk in one message; 0 means 400.
	chunkBytes int
	// maxDelay is the upper bound of the message delay without spikes.
	maxDelay time.Duration
	// reads is the number of reads in four calls.
	reads int
	// anyLeader sends reads to any process that believes it is the leader.
	anyLeader bool
	// entries adds entry instances that follow the configuration revisions.
	entries bool
	// scripts runs scripted schedules, each aimed at one safety rule, without other
	// faults.
	scripts bool
	// cutoffs partitions data centres one after the other, with callers at the
	// entries and without other faults.
	cutoffs bool
	// extraFaults kills, freezes or restarts a process during each cut.
	extraFaults bool
	// firstStart injects faults while the group is founded, instead of those after it.
	firstStart bool
}

var (
	// heavy has frequent faults.
	heavy = profile{name: "heavy", faultTime: 40 * time.Second, faultGap: 3 * time.Second, pause: 700 * time.Millisecond, kinds: 12, delaySpikes: 1, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 1}
	// busy has many changes between faults.
	busy = profile{name: "busy", faultTime: 60 * time.Second, faultGap: 8 * time.Second, pause: 150 * time.Millisecond, kinds: 14, delaySpikes: 5, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 2, anyLeader: true}
	// churn has frequent leader changes and one log entry per message.
	churn = profile{name: "churn", faultTime: 60 * time.Second, faultGap: 3 * time.Second, pause: 150 * time.Millisecond, kinds: 9, delaySpikes: 3, nodes: 5, appendBytes: 1, maxDelay: 400 * time.Millisecond, reads: 2, anyLeader: true}
	// fleet has entries in three data centres, which are cut off at random.
	fleet = profile{name: "fleet", faultTime: 60 * time.Second, faultGap: 15 * time.Second, pause: 400 * time.Millisecond, kinds: 14, delaySpikes: 1, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 1, entries: true}
	// scripted runs schedules that random faults rarely produce. A snapshot is one message.
	scripted = profile{name: "scripted", faultTime: 80 * time.Second, pause: 400 * time.Millisecond, delaySpikes: 3, nodes: 5, appendBytes: 1, chunkBytes: 1 << 20, maxDelay: 60 * time.Millisecond, reads: 2, anyLeader: true, scripts: true}
	// cutoff partitions each data centre in turn, with callers on both sides.
	cutoff = profile{name: "cutoff", faultTime: 3 * time.Minute, pause: 4 * time.Second, nodes: 3, appendBytes: 600, chunkBytes: 100, maxDelay: 60 * time.Millisecond, reads: 1, entries: true, cutoffs: true}
	// cutoffWithFaults is cutoff with a second fault during each cut.
	cutoffWithFaults = profile{name: "struck", faultTime: 4 * time.Minute, pause: 4 * time.Second, nodes: 3, appendBytes: 600, chunkBytes: 100, maxDelay: 60 * time.Millisecond, reads: 1, entries: true, cutoffs: true, extraFaults: true}
)
