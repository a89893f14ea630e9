// Package stateclient calls the state processes for an entry instance: it finds
// the leader, resends what is safe to resend and gives typed errors.
package stateclient

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

const (
	// attemptTimeout bounds one call to one state process; a frozen leader must
	// not hold up the search for the next.
	attemptTimeout = time.Second
	// probeTimeout bounds a call to a process that is not known to lead. One that
	// does not answers at once; one that does is found again by its next answer.
	probeTimeout = 400 * time.Millisecond
	// searchTime is how long a call looks for a leader. It covers an election.
	searchTime = 3 * time.Second
	// roundPause lies between two rounds over all state processes.
	roundPause = 100 * time.Millisecond
	// reserve is the time left to a call below which no further round is tried:
	// a call that ends in the middle of one can't say that nothing was changed.
	reserve = 100 * time.Millisecond
	// lostMemory is how long a failed search is remembered: calls within it try
	// one round only, so that a cut-off data centre refuses at once.
	lostMemory = 2 * time.Second
	// retryAfter is what callers are told while there is no leader.
	retryAfter = 2 * time.Second
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
	health  *health

	mu     sync.Mutex
	leader string
	// lost is when the last search for a leader failed; zero after a success.
	lost time.Time
	// incarnation is fresh at each start, and whenever the ledger takes the
	// last one for dead.
	incarnation string
	generation  int
	claimed     bool
	releases    chan *lilacv1.OutcomeRequest
}

// New returns a Client; it dials nothing yet.
func New(options Options) *Client {
	if options.Recoveries == nil {
		options.Recoveries = func() uint32 { return 0 }
	}
	return &Client{
		options:     options,
		health:      newHealth(),
		incarnation: options.Instance + "/" + rand.Text(),
		releases:    make(chan *lilacv1.OutcomeRequest, maxReleases),
	}
}

// Incarnation returns the name of this start of the instance towards the ledger.
func (c *Client) Incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// target is one state process in the order in which a call tries them.
type target struct{ address string }

// order returns the presumed leader, then the state processes of the own data
// centre, then the others.
func (c *Client) order() []target {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	peers := slices.Clone(c.options.Peers)
	weight := func(p settings.Peer) int {
		switch {
		case p.Address.Value == leader:
			return 0
		case p.DataCenter == c.options.DataCenter:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(peers, func(a, b settings.Peer) int { return weight(a) - weight(b) })
	targets := make([]target, 0, len(peers))
	for _, peer := range peers {
		targets = append(targets, target{peer.Address.Value})
	}
	return targets
}

func (c *Client) found(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.lost = address, time.Time{}
}

func (c *Client) hinted(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *Client) recentlyLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lost.IsZero() && time.Since(c.lost) < lostMemory
}

func (c *Client) noteLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = time.Now()
}

// search is one call's way to the leader.
type search struct {
	// maySent is true once any process may have received the call without
	// refusing it: the command may take effect.
	maySent bool
	last    error
}

// onLeader makes the call on the leader, wherever it is. The call must be safe
// to send twice. Its errors say whether the command may have taken effect.
func (c *Client) onLeader(ctx context.Context, method string, req, resp proto.Message) error {
	s := &search{}
	oneRound := c.recentlyLost()
	deadline := time.Now().Add(searchTime)
	for {
		done, err := c.round(ctx, s, method, req, resp)
		if done {
			return err
		}
		if oneRound || time.Now().After(deadline) || nearlyOver(ctx) {
			c.noteLost()
			return s.failure()
		}
		time.Sleep(roundPause)
	}
}

// nearlyOver tells whether ctx ends before another round could.
func nearlyOver(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(end) < roundPause+reserve
}

// round tries each process once, and the leader that one of them names. It
// tells whether the call is over.
func (c *Client) round(ctx context.Context, s *search, method string, req, resp proto.Message) (bool, error) {
	queue := c.order()
	tried := make(map[string]bool)
	for len(queue) > 0 {
		address := queue[0].address
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		err := c.attempt(ctx, address, method, req, resp)
		if err == nil {
			c.found(address)
			return true, nil
		}
		if final(err) {
			return true, err
		}
		s.note(err)
		if hint := fault.LeaderOf(err); hint != "" {
			c.hinted(hint)
			queue = append([]target{{hint}}, queue...)
		}
		if ctx.Err() != nil {
			return false, nil
		}
	}
	return false, nil
}

func (c *Client) attempt(ctx context.Context, address, method string, req, resp proto.Message) error {
	if !c.health.admit(address) {
		return errPassedOver
	}
	tried, cancel := context.WithTimeout(ctx, c.timeout(address))
	defer cancel()
	err := callInTime(tried, c.options.Dial(address), method, req, resp)
	c.health.settle(ctx, address, err)
	return err
}

func (c *Client) timeout(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.leader {
		return attemptTimeout
	}
	return probeTimeout
}

// errPassedOver stands for a call that was not made.
var errPassedOver = fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
	"gave no answer just now and is passed over for a moment", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))

// final tells errors that the state machine itself gave from those of the way to it.
func final(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM,
		lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT,
		lilacv1.ErrorKind_ERROR_KIND_INTERNAL, lilacv1.ErrorKind_ERROR_KIND_DRAINING,
		lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN:
		return false
	}
	return true
}

func (s *search) note(err error) {
	s.last = err
	refused := errors.Is(err, link.ErrNotSent) || fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE
	s.maySent = s.maySent || !refused
}

func (s *search) failure() error {
	notRun := lilacv1.NotRun_NOT_RUN_TRUE
	text := "no state process leads with a quorum within reach, nothing was changed; try again, or see the state processes' status"
	if s.maySent {
		notRun = lilacv1.NotRun_NOT_RUN_UNKNOWN
		text = "no answer from the state processes, the command may still take effect; send it again under the same id"
	}
	if s.last != nil {
		text = fmt.Sprintf("%s (last: %v)", text, s.last)
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, text, fault.WithNotRun(notRun), fault.WithRetryAfter(retryAfter))
}
