// Package spreadlink carries revisions of the configuration over the link: a
// Server gives them to others, a Watcher follows them on an entry instance.
package spreadlink

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

const (
	// batch and batchBytes bound the revisions of one update.
	batch      = 256
	batchBytes = 1 << 20
	// maxTail is how many revisions behind a watcher may be and still get them
	// one by one; further behind it takes a snapshot.
	maxTail = 4096
	// maxSuperseded bounds the documents of an update, in bytes, that a later one in it
	// replaces: beyond, a snapshot is shorter.
	maxSuperseded = 64 << 10
	// emptyAge is how fresh a source must be to say that there is no revision
	// at all. A process that has just started holds none either.
	emptyAge = time.Second
	// firstWait is how long a watcher waits for a source that is still empty.
	firstWait = 2 * time.Second
	// contactWait is how long a watcher waits for a source that has just started and
	// is not sure of what it holds; less than any watcher's patience with silence.
	contactWait = 700 * time.Millisecond
	// justStarted is how long after its start a source may be finding its group.
	justStarted = 3 * time.Second
	// contactLook is how often such a source is looked at.
	contactLook = 20 * time.Millisecond
)

// Source is what a Server gives on: the state machine of a state process or the
// revisions that an entry holds.
type Source interface {
	// Revision is the newest held here.
	Revision() uint64
	// Since returns revisions after have, oldest first; false where they are not held.
	Since(have uint64, limit int) ([]*lilacv1.Revision, bool)
	// Config is the whole configuration.
	Config() *lilacv1.Snapshot
	// Changed is closed at the next revision.
	Changed() <-chan struct{}
	// LatestKnown returns the newest revision known of, and the age of that knowledge.
	LatestKnown() (newest uint64, age time.Duration)
}

// Server answers the watch and snapshot methods from a Source.
type Server struct {
	source Source
	log    *logs.Log
	// started is by clock.Boot.
	started time.Duration

	mu     sync.Mutex
	parts  []*lilacv1.SnapshotPart
	closed chan struct{}
	once   sync.Once
}

// NewServer returns a Server of the source. The logger gets a line for each
// snapshot that is given.
func NewServer(source Source, logger hclog.Logger) *Server {
	return &Server{source: source, log: logs.New(logger), started: clock.Boot(), closed: make(chan struct{})}
}

// Register adds the methods prefix+".watch" and prefix+".snapshot", where
// prefix is "state" or "entry".
func (s *Server) Register(mux *link.Mux, prefix string) {
	mux.Handle(prefix+".watch", s.watch)
	mux.Handle(prefix+".snapshot", s.snapshot)
}

// Close ends all streams, so that the watchers go elsewhere.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

func (s *Server) watch(ctx context.Context, x *link.Exchange) error {
	req := &lilacv1.WatchRequest{}
	if err := x.Request(req); err != nil {
		return err
	}
	have, began := req.GetHave(), clock.Boot()
	// A recovery, which names no instance, reads every revision for the audit trail.
	following := req.GetInstance() != ""
	if err := s.waitForContact(ctx); err != nil {
		return err
	}
	if err := s.waitForFirst(ctx); err != nil {
		return err
	}
	for {
		// Taken before the revisions are read, so that none slips between.
		changed := s.source.Changed()
		// Taken before the age of the knowledge, so that a suspension between dates it earlier.
		said := clock.Boot() - began
		next, err := s.update(have, following)
		if err != nil {
			return err
		}
		next.SaidAfterMs = uint64(said.Milliseconds())
		if err := x.Send(next); err != nil {
			return err
		}
		if n := len(next.GetRevisions()); n > 0 {
			have = next.GetRevisions()[n-1].GetNumber()
			if have < s.source.Revision() {
				continue
			}
		}
		if err := s.wait(ctx, changed, signOfLife(req)); err != nil {
			return err
		}
	}
}

// waitForContact gives a process that has just started a moment to find its group.
// What its disk holds is older, and watchers would leave it for being behind.
func (s *Server) waitForContact(ctx context.Context) error {
	if clock.Boot()-s.started > justStarted {
		return nil
	}
	look := time.NewTicker(contactLook)
	defer look.Stop()
	limit := time.NewTimer(contactWait)
	defer limit.Stop()
	for s.source.Revision() > 0 {
		if _, age := s.source.LatestKnown(); age <= emptyAge {
			return nil
		}
		select {
		case <-look.C:
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// waitForFirst gives a process that has just started a moment to get its first
// revision itself. When a whole data centre starts, all would otherwise leave
// the relay at once and go to the state processes.
func (s *Server) waitForFirst(ctx context.Context) error {
	changed := s.source.Changed()
	if !s.empty() {
		return nil
	}
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// empty tells that nothing has come here, not even that there is nothing.
func (s *Server) empty() bool {
	_, age := s.source.LatestKnown()
	return s.source.Revision() == 0 && age > emptyAge
}

// signOfLife is the pause that the watcher asks for.
func signOfLife(req *lilacv1.WatchRequest) time.Duration {
	if ms := req.GetSignOfLifeMs(); ms > 0 {
		return max(time.Duration(ms)*time.Millisecond, leastSign)
	}
	return spread.SignOfLife
}

// leastSign keeps one watcher from taking all of a process's time.
const leastSign = 100 * time.Millisecond

func (s *Server) wait(ctx context.Context, changed <-chan struct{}, sign time.Duration) error {
	timer := time.NewTimer(sign)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-s.closed:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this process is stopping; follow another")
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (s *Server) update(have uint64, following bool) (*lilacv1.WatchUpdate, error) {
	newest, age := s.source.LatestKnown()
	update := &lilacv1.WatchUpdate{Newest: newest, AgeMs: uint32(min(age.Milliseconds(), 1<<31))}
	if s.empty() {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no revision has come here yet; follow another process")
	}
	revisions, ok := s.source.Since(have, batch)
	if held := s.source.Revision(); !ok || held > have && held-have > maxTail || following && superseded(revisions) > maxSuperseded {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "revision %d is too long ago to go on from; take a snapshot first", have)
	}
	update.Revisions = fitting(revisions)
	return update, nil
}

// superseded is the size of the documents that a later one in the list replaces.
func superseded(revisions []*lilacv1.Revision) int {
	total, last := 0, 0
	for _, revision := range revisions {
		for _, change := range revision.GetChanges() {
			if document := change.GetSetDocument(); document != nil {
				last = len(document.GetContent())
				total += last
			}
		}
	}
	return total - last
}

// fitting cuts the list so that an update stays far below the largest frame.
func fitting(revisions []*lilacv1.Revision) []*lilacv1.Revision {
	total := 0
	for i, revision := range revisions {
		total += proto.Size(revision)
		if total > batchBytes && i > 0 {
			return revisions[:i]
		}
	}
	return revisions
}

func (s *Server) snapshot(ctx context.Context, x *link.Exchange) error {
	req := &lilacv1.SnapshotRequest{}
	if err := x.Request(req); err != nil {
		return err
	}
	parts, err := s.partsFor(req)
	if err != nil {
		return err
	}
	s.log.Line(logs.Belief, "gives a snapshot of the configuration", "to", req.GetInstance(), "revision", parts[0].GetRevision(), "from_part", req.GetFromPart(), "parts", parts[0].GetParts())
	for _, part := range parts {
		if err := x.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// partsFor returns what is missing of the transfer that broke, or all parts of
// the present revision. The parts are kept for a resume and for others who
// start at the same time.
func (s *Server) partsFor(req *lilacv1.SnapshotRequest) ([]*lilacv1.SnapshotPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := len(s.parts) > 0 && req.GetRevision() == s.parts[0].GetRevision() && req.GetFromPart() < uint32(len(s.parts))
	if resumed && req.GetFromPart() > 0 {
		return s.parts[req.GetFromPart():], nil
	}
	if len(s.parts) > 0 && s.source.Revision()-s.parts[0].GetRevision() < maxTail/2 {
		if after, ok := s.source.Since(s.parts[0].GetRevision(), batch); ok && superseded(after) <= maxSuperseded {
			return s.parts, nil
		}
	}
	parts, err := spread.Split(s.source.Config())
	if err != nil {
		return nil, err
	}
	s.parts = parts
	return parts, nil
}
