package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

func newTestPoller(engines, services int) *Poller {
	p := NewPoller(nil, nil)
	var servers []*lilacv1.Server
	for i := range engines + services {
		kind := lilacv1.ServerKind_SERVER_KIND_ENGINE
		if i >= engines {
			kind = lilacv1.ServerKind_SERVER_KIND_SERVICE
		}
		servers = append(servers, &lilacv1.Server{Name: fmt.Sprint(i), Kind: kind})
	}
	p.Watch(servers)
	return p
}

// tick advances now by the time between two calls and returns it.
func tick(now *time.Time) time.Time {
	*now = now.Add(time.Second / callsPerSecond)
	return *now
}

// Guards against servers that are not polled: the loads of all servers and the cache events of
// all engines are read in round-robin order.
func TestPollsAreRoundRobin(t *testing.T) {
	is := is.New(t)
	p, now := newTestPoller(10, 3), time.Unix(1, 0)
	loads, caches := make(map[string]int), make(map[string]int)
	for range 13 * 4 {
		next, ok := p.next(tick(&now))
		is.True(ok)
		if next.cacheEvents {
			is.Equal(next.server.GetKind(), lilacv1.ServerKind_SERVER_KIND_ENGINE)
			caches[next.server.GetName()]++
		} else {
			loads[next.server.GetName()]++
		}
		p.done(next)
	}
	is.Equal(len(loads), 13)
	is.Equal(len(caches), 10)
	is.Equal(loads["0"], 3)
}

// Guards against polls that pile up at a hanging engine or stop those of the others.
func TestHangingServerIsNotPolledAgain(t *testing.T) {
	is := is.New(t)
	p, now := newTestPoller(2, 0), time.Unix(1, 0)
	hanging, ok := p.next(tick(&now))
	is.True(ok)
	polls := 0
	for range 20 {
		next, ok := p.next(tick(&now))
		if !ok {
			continue
		}
		is.True(next.server != hanging.server)
		polls++
		p.done(next)
	}
	is.True(polls >= 8)
}

func TestNothingToPoll(t *testing.T) {
	_, ok := newTestPoller(0, 0).next(time.Unix(1, 0))
	is.New(t).True(!ok)
}

// Guards against exceeding the limit on control traffic in a full-size fleet. An instance
// polls 100 engines, each for its cache events about once a minute; 19 KB have accumulated
// by then. Eight calls per second would cost 40 KB/s, three times the limit. Loads must
// still be read.
func TestLargeResponsesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const seconds, loadBytes, cacheBytes = 600, 80, 19000
	p, now := newTestPoller(100, 0), time.Unix(1, 0)
	p.SetBudget(TreePollBudget)
	spent, loads := 0, 0
	for range seconds * callsPerSecond {
		poll, ok := p.next(tick(&now))
		if !ok {
			continue
		}
		p.done(poll)
		if poll.cacheEvents {
			p.spend(&p.cacheBudget, cacheBytes)
			spent += pollOverheadBytes + cacheBytes
		} else {
			p.spend(&p.loadBudget, loadBytes)
			spent += pollOverheadBytes + loadBytes
			loads++
		}
	}
	is.True(spent <= TreePollBudget*seconds+pollOverheadBytes+cacheBytes)
	is.True(loads >= 2*seconds)
}
