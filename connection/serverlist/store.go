// Package serverlist distributes the platform's list of backend servers through the state
// processes to the entry instances, so that only one process reads it from the platform.
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
	// Method is the link method to query the list.
	Method = "state.servers"
	// maxPollWait is how long a query waits for a change. Callers time out somewhat later
	// and treat the process as failed.
	maxPollWait = time.Second
	// maxAge is the time since the last confirmation after which a list is not served:
	// this process may be partitioned, and another may have a newer list.
	maxAge = 3 * time.Second
)

// Store holds the newest list received. It is safe for concurrent use.
type Store struct {
	// mu guards reply, servers, earlier, confirmedAt and changed. changed is closed and
	// replaced with each new list.
	mu      sync.Mutex
	reply   *lilacv1.ServersReply
	servers []routing.Server
	// earlier are the lists before the current one, which callers may still hold.
	earlier history
	// confirmedAt is when the list was last read or confirmed.
	confirmedAt time.Time
	changed     chan struct{}
	now         func() time.Time
}

// NewStore returns a Store without a list.
func NewStore() *Store { return &Store{changed: make(chan struct{}), now: time.Now} }

// Register adds the method to mux.
func (s *Store) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(s.serve)) }

// Set stores a list and reports whether it differs from the previous one, regardless of
// order.
func (s *Store) Set(servers []routing.Server) bool {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b routing.Server) int { return cmp.Compare(a.Name, b.Name) })
	reply := encode(servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = s.now()
	if s.reply != nil && s.reply.GetVersion() == reply.GetVersion() {
		return false
	}
	s.earlier.add(s.reply)
	s.reply, s.servers = reply, servers
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Confirm records that the stored list is still current.
func (s *Store) Confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = s.now()
}

// Current returns the stored list, or false if there is none or it is outdated. The caller
// must not modify it.
func (s *Store) Current() ([]routing.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers, s.reply != nil && s.now().Sub(s.confirmedAt) <= maxAge
}

// Version returns the version of the stored list; 0 if there is none.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply.GetVersion()
}

// serve waits up to maxPollWait for a list that differs from the caller's.
func (s *Store) serve(ctx context.Context, _ link.Peer, r *lilacv1.ServersRequest) (*lilacv1.ServersReply, error) {
	timer := time.NewTimer(maxPollWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		reply, changed, age := s.reply, s.changed, s.now().Sub(s.confirmedAt)
		if reply != nil && age <= maxAge && reply.GetVersion() != r.GetHave() {
			defer s.mu.Unlock()
			return s.replyTo(r), nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return s.unchanged(reply, age)
		}
	}
}

// replyTo returns the changes since the caller's list, or the whole list. The caller must
// hold s.mu.
func (s *Store) replyTo(r *lilacv1.ServersRequest) *lilacv1.ServersReply {
	if !r.GetAcceptsChanges() {
		return s.reply
	}
	return s.earlier.changesSince(r.GetHave(), s.reply)
}

// Apply stores the list of a reply, whole or as changes to the stored one, and reports whether
// the stored list differs now. It returns false for ok if the changes are to another list.
func (s *Store) Apply(reply *lilacv1.ServersReply) (changed, ok bool) {
	if reply.GetSince() == 0 {
		return s.Set(decode(reply)), true
	}
	s.mu.Lock()
	current := s.reply
	s.mu.Unlock()
	if current.GetVersion() != reply.GetSince() {
		return false, false
	}
	servers := applyChanges(current, reply)
	if encode(servers).GetVersion() != reply.GetVersion() {
		return false, false
	}
	return s.Set(servers), true
}

// unchanged returns a reply without servers, which confirms the caller's list, or an error
// if this process has no current list.
func (s *Store) unchanged(reply *lilacv1.ServersReply, age time.Duration) (*lilacv1.ServersReply, error) {
	if reply == nil || age > maxAge {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this process has no current list of backend servers; ask another state process or the platform")
	}
	return &lilacv1.ServersReply{Version: reply.GetVersion()}, nil
}

// encode returns the reply for a sorted list. Equal lists have equal versions.
func encode(servers []routing.Server) *lilacv1.ServersReply {
	reply := &lilacv1.ServersReply{}
	for i := range servers {
		s := &servers[i]
		reply.Servers = append(reply.Servers, &lilacv1.ListedServer{
			Name: s.Name, Identity: s.Identity, Service: s.Service, Address: s.Address,
			DataCenter: s.DataCenter, Slots: uint32(s.Slots), Leaving: s.Draining, Reclaimable: s.Reclaimable,
			SoftwareVersion: s.SoftwareVersion,
		})
	}
	// Marshalling a valid message does not fail.
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
			DataCenter: s.GetDataCenter(), Slots: int(s.GetSlots()), Draining: s.GetLeaving(), Reclaimable: s.GetReclaimable(),
			SoftwareVersion: s.GetSoftwareVersion(),
		})
	}
	return servers
}
