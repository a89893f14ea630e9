package engine

import (
	"fmt"
	"testing"

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

// Every server's load is read in turn, and the caches of engines alone between.
func TestPollsGoRound(t *testing.T) {
	is := is.New(t)
	p := watched(10, 3)
	loads, caches := make(map[string]int), make(map[string]int)
	for range 13 * 4 {
		next, ok := p.next()
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
	p := watched(2, 0)
	hanging, ok := p.next()
	is.True(ok)
	asked := 0
	for range 20 {
		next, ok := p.next()
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
	_, ok := watched(0, 0).next()
	is.New(t).True(!ok)
}
