package versionproof

import (
	"context"
	"fmt"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// keeper is the part of a state process that keeps copies of origins.
type keeper struct {
	sim     *sim
	peer    member.Peer
	started int
	cancel  context.CancelFunc
}

func newKeeper(s *sim, i int) *keeper {
	name := fmt.Sprint("s", i)
	k := &keeper{sim: s, peer: member.Peer{Name: "state/" + name, Address: name, DataCenter: fmt.Sprint("d", i%dataCenters)}}
	k.start()
	return k
}

// start begins without memory.
func (k *keeper) start() {
	s := k.sim
	if k.cancel != nil {
		s.network.unregister(process{k.peer.Address, k.started})
		k.cancel()
	}
	k.started++
	kept, mux := originlink.NewKeeper(), link.NewMux()
	kept.Register(mux)
	s.network.register(process{k.peer.Address, k.started}, mux)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	number := k.started
	s.wg.Go(func() {
		time.Sleep(time.Duration(s.network.hash(k.peer.Address, number)%uint64(step-2)) + 1)
		kept.Run(ctx)
	})
}

// step begins faults.
func (k *keeper) step() {
	s := k.sim
	switch {
	case s.often(0.0003):
		s.note("%s is started again", k.peer.Name)
		k.start()
	case s.often(0.0003):
		s.network.cut(k.peer.Address, s.now+s.between(time.Second, 100*time.Second))
	case s.often(0.0003):
		s.network.pause(k.peer.Address, s.now+s.between(100*time.Millisecond, 20*time.Second))
	}
}
