// Package stateclient calls the state processes for an entry instance: it finds
// the leader, resends what is safe to resend and gives typed errors.
//
// Core decides whom a call tries next and when it is given up, without clock or
// goroutine; Client is the shell that makes the calls.
package stateclient

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Options say who calls and where the state processes are.
type Options struct {
	// Instance and DataCenter of the caller.
	Instance   string
	DataCenter string
	// Peers lists all state processes.
	Peers []settings.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Recoveries tells how many recoveries of the state processes the instance
	// knows of; a group that knows fewer refuses its calls. May be nil.
	Recoveries func() uint32
}

// Client calls the state processes. All its methods may be called at once from
// many goroutines.
type Client struct {
	options Options

	mu   sync.Mutex
	core *Core
	// serial numbers the calls.
	serial uint64
	// incarnation is fresh at each start, and whenever the ledger takes the
	// last one for dead.
	incarnation string
	generation  int
	claimed     bool
	releases    chan *lilacv1.OutcomeRequest
	// groups are the last answers to Members, by the address that gave them.
	groups map[string]*lilacv1.StateMembers
}

// New returns a Client; it dials nothing yet.
func New(options Options) *Client {
	if options.Recoveries == nil {
		options.Recoveries = func() uint32 { return 0 }
	}
	return &Client{
		options:     options,
		core:        NewCore(options.DataCenter, options.Peers),
		incarnation: options.Instance + "/" + rand.Text(),
		releases:    make(chan *lilacv1.OutcomeRequest, maxReleases),
		groups:      make(map[string]*lilacv1.StateMembers),
	}
}

// Incarnation returns the name of this start of the instance towards the ledger.
func (c *Client) Incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// SetPeers replaces the state processes that calls may go to.
func (c *Client) SetPeers(peers []settings.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.peers = peers
	maps.DeleteFunc(c.groups, func(address string, _ *lilacv1.StateMembers) bool {
		return !slices.ContainsFunc(peers, func(p settings.Peer) bool { return p.Address.Value == address })
	})
}

// Members asks all state processes for those of their group and for the entries
// that asked them, and tells them of this one. It fails where none answers.
func (c *Client) Members(ctx context.Context, self settings.Peer) (members, entries []settings.Peer, err error) {
	entry := &lilacv1.StateMember{Name: self.Name, Address: self.Address.Value, DataCenter: self.DataCenter}
	var errs []error
	known := make(map[string]bool)
	for _, address := range c.order() {
		reply, err := c.group(ctx, address, entry)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if len(members) == 0 {
			members = peersOf(reply.GetMembers())
		}
		for _, entry := range peersOf(reply.GetEntries()) {
			if !known[entry.Name] {
				known[entry.Name] = true
				entries = append(entries, entry)
			}
		}
	}
	if len(members) == 0 {
		return nil, nil, errors.Join(append(errs, errNoGroup)...)
	}
	return members, entries, nil
}

// group is what one state process says of its group. The lists of a large fleet have
// many kilobytes, so they are sent only where they differ from the last ones.
func (c *Client) group(ctx context.Context, address string, entry *lilacv1.StateMember) (*lilacv1.StateMembers, error) {
	c.mu.Lock()
	held := c.groups[address]
	c.mu.Unlock()
	reply := &lilacv1.StateMembers{}
	request := &lilacv1.StateMembersRequest{Entry: entry, Have: held.GetVersion()}
	if err := c.attempt(ctx, address, "state.members", request, reply); err != nil {
		return nil, err
	}
	if held != nil && reply.GetVersion() == held.GetVersion() && reply.GetVersion() != 0 {
		return held, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Processes that give the same answer share it.
	for _, other := range c.groups {
		if reply.GetVersion() != 0 && other.GetVersion() == reply.GetVersion() {
			reply = other
			break
		}
	}
	c.groups[address] = reply
	return reply, nil
}

// errNoGroup is the error where all that answered belong to no group yet.
//
// It guards against an entry that takes an empty answer for the group's members
// while the state processes are still founding it: it would know nobody to ask any
// more, and never get a configuration.
var errNoGroup = fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no state process that answered belongs to a group yet; see their logs")

func peersOf(members []*lilacv1.StateMember) []settings.Peer {
	peers := make([]settings.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, settings.Peer{Name: member.GetName(), DataCenter: member.GetDataCenter(), Address: settings.Address{Value: member.GetAddress()}})
	}
	return peers
}

func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.order()
}

func (c *Client) step(event Event) Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Step(time.Now(), event)
}

func (c *Client) begin(ctx context.Context) (uint64, Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	end, _ := ctx.Deadline()
	return c.serial, c.core.Step(time.Now(), CallStarted{Call: c.serial, Deadline: end})
}

// onLeader makes the call on the leader, wherever it is. The call must be safe
// to send twice. Its errors say whether the command may have taken effect.
func (c *Client) onLeader(ctx context.Context, method string, req, resp proto.Message) error {
	call, action := c.begin(ctx)
	for {
		switch a := action.(type) {
		case Attempt:
			err := c.send(ctx, a, method, req, resp)
			action = c.step(AttemptDone{Call: call, Err: err, ContextDone: ctx.Err() != nil, FromAnyReplica: FromAnyReplica(resp)})
		case Pause:
			time.Sleep(a.For)
			action = c.step(PauseDone{Call: call})
		case CallDone:
			return a.Err
		}
	}
}

// FromAnyReplica tells whether any state process may have given the answer: that a
// claimed key has ended.
func FromAnyReplica(answer proto.Message) bool {
	claim, ok := answer.(*lilacv1.ClaimReply)
	if !ok {
		return false
	}
	return claim.GetState() == lilacv1.ClaimState_CLAIM_STATE_RAN || claim.GetState() == lilacv1.ClaimState_CLAIM_STATE_UNKNOWN
}

// attempt makes the call on one state process, unless it is passed over.
func (c *Client) attempt(ctx context.Context, address, method string, req, resp proto.Message) error {
	try, admitted := c.admit(address)
	if !admitted {
		return errPassedOver
	}
	err := c.send(ctx, try, method, req, resp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.health.settle(time.Now(), address, err, ctx.Err() != nil)
	return err
}

func (c *Client) admit(address string) (Attempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Attempt{Address: address, Timeout: c.core.timeout(address)}, c.core.health.admit(time.Now(), address)
}

func (c *Client) send(ctx context.Context, try Attempt, method string, req, resp proto.Message) error {
	tried, cancel := context.WithTimeout(ctx, try.Timeout)
	defer cancel()
	return callInTime(tried, c.options.Dial(try.Address), method, req, resp)
}

// callInTime is Call, but returns when ctx ends even while the caller still
// dials, which it may do longer.
func callInTime(ctx context.Context, caller link.Caller, method string, req, resp proto.Message) error {
	sent := proto.Clone(req)
	got := resp.ProtoReflect().New().Interface()
	done := make(chan error, 1)
	go func() { done <- caller.Call(ctx, method, sent, got) }()
	select {
	case err := <-done:
		if err == nil {
			proto.Reset(resp)
			proto.Merge(resp, got)
		}
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no answer in time")
	}
}
