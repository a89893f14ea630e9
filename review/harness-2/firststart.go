package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// diskLostAt is when the machine loses its disk, after the start of all machines; restartAfter is
	// how long its process is down.
	diskLostAt   = 300 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// settleWindow, ackTimeout and ackPerRoute are settleWindowMs and ackTimeoutMs of the site and the
	// addition for each route.
	settleWindow = 4 * time.Second
	ackTimeout   = 5 * time.Second
	ackPerRoute  = 3 * time.Millisecond
	// watchedFor is how long the case goes on after the bound, to see whether the system recovers.
	watchedFor = 40 * time.Second
)

// firstStart starts a deployment for the first time. One core machine loses its disk while the
// system starts and is back half a second later, with an empty folder and bootstrap set to false.
// The operator sends the first config until it is accepted.
func firstStart(f *fleet, trouble bool) (broken bool, err error) {
	f.platform.list(listed{
		Service: "desk", Address: f.network + "61:8080", Zone: zones[0], Version: "v1", Slots: 6, State: "ready", Identifier: "i-1",
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	stableFrom := f.since() + settleWindow
	if trouble {
		victim := f.cores[0]
		f.sleepUntil(diskLostAt)
		victim.kill()
		f.record.line("%s loses its disk", victim.name)
		if err := f.loseDisk(victim); err != nil {
			return false, err
		}
		time.Sleep(restartAfter)
		if err := f.start(victim, false); err != nil {
			return false, err
		}
		stableFrom = f.since() + settleWindow
	}
	config, err := smallConfig(1)
	if err != nil {
		return false, err
	}
	bound := stableFrom + ackTimeout + 2*ackPerRoute
	f.record.line("the core is stable from %.3f s on; the first config is due to be acknowledged by %.3f s", stableFrom.Seconds(), bound.Seconds())
	ready := watchReadiness(f, bound+watchedFor)
	acknowledged := newOperator(f).put(config, bound+watchedFor)
	at := f.since()
	f.record.line("operator: the first config is acknowledged: %v", acknowledged)
	if acknowledged {
		time.Sleep(3 * time.Second)
	}
	if err := f.checkRunning(); err != nil {
		return false, err
	}
	f.record.line("platform: questions for readiness answered with 200: %d", ready())
	return !acknowledged || at > bound, nil
}

// watchReadiness asks all frontends once a second whether they are ready, as the platform does. The
// returned function ends that and returns how often one was.
func watchReadiness(f *fleet, until time.Duration) (ready func() int) {
	var asking sync.WaitGroup
	count, stop := 0, make(chan struct{})
	asking.Go(func() {
		client := &http.Client{Timeout: time.Second}
		for f.since() < until {
			for _, m := range f.entries {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.address, f.readyPort))
				if err != nil {
					continue
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					count++
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	return func() int {
		close(stop)
		asking.Wait()
		return count
	}
}
