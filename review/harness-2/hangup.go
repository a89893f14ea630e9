package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// rolls is how often each of the rolled machines is stopped and started again, and hangUpAfter how
	// long after its start its SIGHUP comes.
	rolls       = 3
	hangUpAfter = 6 * time.Millisecond
	// gracePeriod is gracePeriodS of the site, and platformDelay the pause after which the platform
	// starts a process that has ended.
	gracePeriod   = 8 * time.Second
	platformDelay = 500 * time.Millisecond
	// settledAfter is how long a process that was not ended by its SIGHUP is left alone.
	settledAfter = time.Second
	// machinesForFault is a tenth of the machines in use, but two at least.
	machinesForFault = 2
)

// hangUpAtStart stops and starts two frontends and two core machines in turn, one at a time. The
// settings change meanwhile, so that each gets a SIGHUP just when it is started.
func hangUpAtStart(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	config, err := smallConfig(1)
	if err != nil {
		return false, err
	}
	if !newOperator(f).put(config, f.since()+startTimeout) {
		return false, fmt.Errorf("the first config was not acknowledged")
	}
	time.Sleep(settleWindow)
	rolled := append(append([]*machine(nil), f.entries[:2]...), f.cores[:2]...)
	ends := make(map[*machine]int)
	for range rolls {
		for _, m := range rolled {
			ended, err := f.roll(m, trouble)
			if err != nil {
				return false, err
			}
			if ended {
				ends[m]++
			}
		}
	}
	if err := f.checkRunning(); err != nil {
		return false, err
	}
	often, oftenCore := 0, 0
	for _, m := range rolled {
		f.record.line("%s: its process ended by itself %d times", m.name, ends[m])
		if ends[m] >= rolls {
			often++
			if m.core {
				oftenCore++
			}
		}
	}
	return often >= machinesForFault || 2*oftenCore >= len(f.cores), nil
}

// roll stops a machine's process as planned, starts it again and, with trouble, tells it that its
// settings have changed. It reports whether the process ended upon that, and starts it once more then.
func (f *fleet) roll(m *machine, trouble bool) (ended bool, err error) {
	f.record.line("%s gets SIGTERM", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(gracePeriod):
		return false, fmt.Errorf("%s did not end in its grace period", m.name)
	}
	if err := f.start(m, false); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(hangUpAfter)
		_ = m.cmd.Process.Signal(syscall.SIGHUP)
		f.record.line("%s gets SIGHUP", m.name)
	}
	select {
	case <-m.ended:
		f.record.line("%s has ended by itself: %v", m.name, m.cmd.ProcessState)
		time.Sleep(platformDelay)
		return true, f.start(m, false)
	case <-time.After(settledAfter):
		return false, nil
	}
}
