package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

func watched(engines, services int) *Poller {
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

// at moves the clock on by the time between two calls.
func at(now *time.Time) time.Time {
	*now = now.Add(time.Second / callsPerSecond)
	return *now
}

// Every server's load is read in turn, and the caches of engines alone between.
func TestPollsGoRound(t *testing.T) {
	is := is.New(t)
	p, now := watched(10, 3), time.Unix(1, 0)
	loads, caches := make(map[string]int), make(map[string]int)
	for range 13 * 4 {
		next, ok := p.next(at(&now))
		is.True(ok)
		if next.cache {
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

// An engine hangs: its polls must not pile up, and the others' go on.
func TestHangingServerIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	p, now := watched(2, 0), time.Unix(1, 0)
	hanging, ok := p.next(at(&now))
	is.True(ok)
	asked := 0
	for range 20 {
		next, ok := p.next(at(&now))
		if !ok {
			continue
		}
		is.True(next.server != hanging.server)
		asked++
		p.done(next)
	}
	is.True(asked >= 8)
}

func TestNothingToPoll(t *testing.T) {
	_, ok := watched(0, 0).next(time.Unix(1, 0))
	is.New(t).True(!ok)
}

// At full size an instance watches 100 engines and asks each for its cache
// events once in a minute or so; by then an engine has 19 KB of them to tell.
// Eight calls a second would cost 40 KB a second, three times what all control
// may. The budget must hold, and loads must still be read.
func TestLargeAnswersStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const seconds, loadBytes, cacheBytes = 600, 80, 19000
	p, now := watched(100, 0), time.Unix(1, 0)
	p.SetBudget(TreePollBudget)
	spent, loads := 0, 0
	for range seconds * callsPerSecond {
		poll, ok := p.next(at(&now))
		if !ok {
			continue
		}
		p.done(poll)
		if poll.cache {
			p.spend(&p.caches, cacheBytes)
			spent += headerBytes + cacheBytes
		} else {
			p.spend(&p.loads, loadBytes)
			spent += headerBytes + loadBytes
			loads++
		}
	}
	is.True(spent <= TreePollBudget*seconds+headerBytes+cacheBytes)
	is.True(loads >= 2*seconds)
}
