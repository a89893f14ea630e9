// Package serverlist keeps the list of backend servers on the state processes and
// gives it on to the entries, so that the platform is asked by one process and
// not by each.
package serverlist

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// Method is the link method of a question for the list.
	Method = "state.servers"
	// holdFor is how long a question waits for a change; callers take a longer
	// silence for a lost process.
	holdFor = time.Second
	// staleAfter is the age above which a list is given to nobody: its reader may
	// be cut off, and another process may know more.
	staleAfter = 3 * time.Second
)

// Store holds the newest list that was read or heard.
type Store struct {
	mu      sync.Mutex
	reply   *lilacv1.ServersReply
	servers []routing.Server
	at      time.Time
	changed chan struct{}
	now     func() time.Time
}

// NewStore returns a Store without a list.
func NewStore() *Store { return &Store{changed: make(chan struct{}), now: time.Now} }

// Register adds the method to mux.
func (h *Store) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(h.answer)) }

// Set takes a list in and tells whether it differs from the one held. A list in
// another order is the same.
func (h *Store) Set(servers []routing.Server) bool {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b routing.Server) int { return cmp.Compare(a.Name, b.Name) })
	reply := encode(servers)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = h.now()
	if h.reply != nil && h.reply.GetVersion() == reply.GetVersion() {
		return false
	}
	h.reply, h.servers = reply, servers
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm notes that the list held is still the platform's.
func (h *Store) Confirm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = h.now()
}

// Version is that of the list held; 0 for none.
func (h *Store) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reply.GetVersion()
}

// answer waits for a list other than the caller's.
func (h *Store) answer(ctx context.Context, _ link.Peer, r *lilacv1.ServersRequest) (*lilacv1.ServersReply, error) {
	timer := time.NewTimer(holdFor)
	defer timer.Stop()
	for {
		h.mu.Lock()
		reply, changed, age := h.reply, h.changed, h.now().Sub(h.at)
		h.mu.Unlock()
		if reply != nil && age <= staleAfter && reply.GetVersion() != r.GetHave() {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return h.unchanged(reply, age)
		}
	}
}

// unchanged tells the caller that what it holds stands, or that nobody knows.
func (h *Store) unchanged(reply *lilacv1.ServersReply, age time.Duration) (*lilacv1.ServersReply, error) {
	if reply == nil || age > staleAfter {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the list of backend servers is not known here; ask another state process or the platform")
	}
	return &lilacv1.ServersReply{Version: reply.GetVersion()}, nil
}

// encode gives equal lists equal versions.
func encode(servers []routing.Server) *lilacv1.ServersReply {
	reply := &lilacv1.ServersReply{}
	for i := range servers {
		s := &servers[i]
		reply.Servers = append(reply.Servers, &lilacv1.ListedServer{
			Name: s.Name, Identity: s.Identity, Service: s.Service, Address: s.Address,
			DataCenter: s.DataCenter, Slots: uint32(s.Slots), Leaving: s.Leaving,
		})
	}
	// Messages of our own types always marshal.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(reply)
	reply.Version = max(xxhash.Sum64(data), 1)
	return reply
}

// decode is the inverse of encode.
func decode(reply *lilacv1.ServersReply) []routing.Server {
	servers := make([]routing.Server, 0, len(reply.GetServers()))
	for _, s := range reply.GetServers() {
		servers = append(servers, routing.Server{
			Name: s.GetName(), Identity: s.GetIdentity(), Service: s.GetService(), Address: s.GetAddress(),
			DataCenter: s.GetDataCenter(), Slots: int(s.GetSlots()), Leaving: s.GetLeaving(),
		})
	}
	return servers
}
