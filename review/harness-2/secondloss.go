package main

import (
	"fmt"
	"time"
)

const (
	// catchUp and recovery are catchUpS and recoveryS of the site.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// silenceAfter is when the open channels go silent, after the first machine is back; secondLoss is
	// when the second one loses its disk. The first counts as lost until catchUp.
	silenceAfter = time.Second
	secondLoss   = catchUp + 2*time.Second
	// readFor is how long the operator reads the config at the end; the page asks for settleWindow at
	// least.
	readFor = 20 * time.Second
	// calmTime is how long the system runs before the first loss.
	calmTime = 6 * time.Second
)

// secondDiskLoss lets one core machine lose its disk and, more than catchUp after it is back, another
// one. Between the two, the channels between the machines that are open go silent for good, while
// new ones work. At the end the operator reads the config.
func secondDiskLoss(f *fleet, trouble bool) (broken bool, err error) {
	proxies, err := f.proxyCores()
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	op := newOperator(f)
	for version := 1; version <= 2; version++ {
		config, err := smallConfig(version)
		if err != nil {
			return false, err
		}
		if !op.put(config, f.since()+startTimeout) {
			return false, fmt.Errorf("config %d was not acknowledged before the disruption", version)
		}
		f.record.line("operator: config %d is acknowledged", version)
		time.Sleep(calmTime / 2)
	}
	if trouble {
		if err := f.loseTwoDisks(op, proxies); err != nil {
			return false, err
		}
	}
	allBack := f.since()
	f.record.line("all machines are back")
	if trouble {
		f.sleepUntil(allBack + recovery)
	}
	newest := op.readBack(f.since()+readFor, 2)
	if err := f.checkRunning(); err != nil {
		return false, err
	}
	f.record.line("operator: read back version %d; 2 is the newest that was acknowledged", newest)
	return newest < 2, nil
}

// startTimeout bounds the time until a config is acknowledged without any disruption.
const startTimeout = 20 * time.Second

func (f *fleet) loseTwoDisks(op *operator, proxies []*proxy) error {
	first := op.leader()
	second := (first + 1) % len(f.cores)
	if err := f.loseDiskAndReturn(f.cores[first]); err != nil {
		return err
	}
	back := f.since()
	time.Sleep(silenceAfter)
	count := 0
	for _, p := range proxies {
		count += p.silence()
	}
	f.record.line("%d open channels between the machines go silent; new ones work", count)
	f.sleepUntil(back + secondLoss)
	f.record.line("%s has been back for %.1f s", f.cores[first].name, (f.since() - back).Seconds())
	return f.loseDiskAndReturn(f.cores[second])
}

// loseDiskAndReturn ends the machine's process and starts it again with an empty folder.
func (f *fleet) loseDiskAndReturn(m *machine) error {
	m.kill()
	f.record.line("%s loses its disk", m.name)
	if err := f.loseDisk(m); err != nil {
		return err
	}
	time.Sleep(restartAfter)
	return f.start(m, false)
}
