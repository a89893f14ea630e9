// Package stateclient calls the state processes on behalf of an entry instance. It finds
// the leader, resends calls that are safe to repeat, and returns typed errors.
//
// Core decides which process a call tries next and when the call fails; it uses neither a
// clock nor goroutines. Client makes the calls that Core requests.
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

// Options configure a Client.
type Options struct {
	// Instance and DataCenter identify the calling instance.
	Instance   string
	DataCenter string
	// Peers lists all state processes.
	Peers []settings.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Recoveries returns the number of recoveries of the state processes known to this
	// instance; a group that knows of fewer refuses its calls. May be nil.
	Recoveries func() uint32
}

// Client calls the state processes. It is safe for concurrent use.
type Client struct {
	options Options

	mu   sync.Mutex
	core *Core
	// lastCall is the number of the latest call.
	lastCall uint64
	// incarnation is renewed at each start, and whenever the ledger has declared the
	// previous one dead. generation counts the renewals since the start.
	incarnation string
	generation  int
	claimed     bool
	releases    chan *lilacv1.OutcomeRequest
	// memberReplies holds the last reply to state.members by address.
	memberReplies map[string]*lilacv1.StateMembers
}

// New returns a Client; connections are opened by the first calls.
func New(options Options) *Client {
	if options.Recoveries == nil {
		options.Recoveries = func() uint32 { return 0 }
	}
	return &Client{
		options:       options,
		core:          NewCore(options.DataCenter, options.Peers),
		incarnation:   options.Instance + "/" + rand.Text(),
		releases:      make(chan *lilacv1.OutcomeRequest, maxReleases),
		memberReplies: make(map[string]*lilacv1.StateMembers),
	}
}

// Incarnation returns the current incarnation of the instance in the ledger.
func (c *Client) Incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// SetPeers replaces the list of state processes.
func (c *Client) SetPeers(peers []settings.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.peers = peers
	maps.DeleteFunc(c.memberReplies, func(address string, _ *lilacv1.StateMembers) bool {
		return !slices.ContainsFunc(peers, func(p settings.Peer) bool { return p.Address.Value == address })
	})
}

// Members asks all state processes for the members of their group and for the entries known
// to them, and registers self as an entry. It returns an error if no process names its
// group.
func (c *Client) Members(ctx context.Context, self settings.Peer) (members, entries []settings.Peer, err error) {
	entry := &lilacv1.StateMember{Name: self.Name, Address: self.Address.Value, DataCenter: self.DataCenter}
	var errs []error
	known := make(map[string]bool)
	for _, address := range c.addressesByPriority() {
		reply, err := c.fetchMembers(ctx, address, entry)
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

// fetchMembers returns the members and entries known to one state process. The lists of a
// large fleet take many kilobytes, so a process sends them only if they differ from the
// previous reply.
func (c *Client) fetchMembers(ctx context.Context, address string, entry *lilacv1.StateMember) (*lilacv1.StateMembers, error) {
	c.mu.Lock()
	held := c.memberReplies[address]
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
	// Equal replies of several processes are stored once.
	for _, other := range c.memberReplies {
		if reply.GetVersion() != 0 && other.GetVersion() == reply.GetVersion() {
			reply = other
			break
		}
	}
	c.memberReplies[address] = reply
	return reply, nil
}

// errNoGroup is returned if no process that answered belongs to a group yet. Without it an
// entry would accept the empty list while the state processes are still forming their group,
// have no process left to ask, and never receive a configuration.
var errNoGroup = fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no state process that answered belongs to a group yet; see their logs")

func peersOf(members []*lilacv1.StateMember) []settings.Peer {
	peers := make([]settings.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, settings.Peer{Name: member.GetName(), DataCenter: member.GetDataCenter(), Address: settings.Address{Value: member.GetAddress()}})
	}
	return peers
}

func (c *Client) addressesByPriority() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.addressesByPriority()
}

func (c *Client) step(event Event) Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Step(time.Now(), event)
}

func (c *Client) begin(ctx context.Context) (uint64, Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall++
	deadline, _ := ctx.Deadline()
	return c.lastCall, c.core.Step(time.Now(), CallStarted{Call: c.lastCall, Deadline: deadline})
}

// callLeader finds the leader and makes the call on it. The call must be safe to repeat.
// fault.NotRunOf of its errors states whether the command may have taken effect.
func (c *Client) callLeader(ctx context.Context, method string, req, resp proto.Message) error {
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

// FromAnyReplica reports whether a process without a quorum may have given the answer. That
// holds for a claim on a key whose request has already ended.
func FromAnyReplica(answer proto.Message) bool {
	claim, ok := answer.(*lilacv1.ClaimReply)
	if !ok {
		return false
	}
	return claim.GetState() == lilacv1.ClaimState_CLAIM_STATE_RAN || claim.GetState() == lilacv1.ClaimState_CLAIM_STATE_UNKNOWN
}

// attempt makes the call on one state process, unless that process is skipped.
func (c *Client) attempt(ctx context.Context, address, method string, req, resp proto.Message) error {
	a, allowed := c.allow(address)
	if !allowed {
		return errSkipped
	}
	err := c.send(ctx, a, method, req, resp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.health.recordResult(time.Now(), address, err, ctx.Err() != nil)
	return err
}

func (c *Client) allow(address string) (Attempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Attempt{Address: address, Timeout: c.core.timeout(address)}, c.core.health.allow(time.Now(), address)
}

func (c *Client) send(ctx context.Context, a Attempt, method string, req, resp proto.Message) error {
	attemptCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return callWithContext(attemptCtx, c.options.Dial(a.Address), method, req, resp)
}

// callWithContext is caller.Call, but returns as soon as ctx ends, even if the caller is
// still dialling.
func callWithContext(ctx context.Context, caller link.Caller, method string, req, resp proto.Message) error {
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
