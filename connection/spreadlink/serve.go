// Package spreadlink distributes configuration revisions over connection/link: a
// Server streams them to watchers, and a Watcher keeps an entry instance up to date.
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
	// maxBatchRevisions and maxBatchBytes bound the revisions of one update.
	maxBatchRevisions = 256
	maxBatchBytes     = 1 << 20
	// maxRevisionLag is how many revisions a watcher may be behind and still receive
	// them individually; further behind it needs a snapshot.
	maxRevisionLag = 4096
	// maxSupersededBytes bounds the total size of documents in an update that a later
	// revision of the same update replaces. Above it, a snapshot is smaller.
	maxSupersededBytes = 64 << 10
	// maxContactAge is the maximum age of a source's information at which it counts as
	// in contact with its group. Only then may it claim that no revision exists, since
	// a process that has just started holds none either.
	maxContactAge = time.Second
	// firstRevisionTimeout bounds the wait for a source that has no revision yet.
	firstRevisionTimeout = 2 * time.Second
	// freshSourceTimeout bounds the wait for a source that has just started and has not
	// contacted its group yet. It must be shorter than any watcher's silence timeout.
	freshSourceTimeout = 700 * time.Millisecond
	// freshSourcePeriod is how long after its start a source may still be looking for
	// its group.
	freshSourcePeriod = 3 * time.Second
	// freshSourcePollInterval is the interval between checks of such a source.
	freshSourcePollInterval = 20 * time.Millisecond
	// minHeartbeatInterval bounds the CPU time that a single watcher can demand.
	minHeartbeatInterval = 100 * time.Millisecond
)

// Source provides the revisions that a Server distributes: the state machine of a state
// process, or the revisions that an entry holds.
type Source interface {
	// Revision returns the number of the newest revision held.
	Revision() uint64
	// Since returns up to limit revisions after have, oldest first, and false if they
	// are not held.
	Since(have uint64, limit int) ([]*lilacv1.Revision, bool)
	// Config returns the complete configuration.
	Config() *lilacv1.Snapshot
	// Changed returns a channel that is closed at the next revision.
	Changed() <-chan struct{}
	// LatestKnown returns the newest revision number seen and the age of that information.
	LatestKnown() (newest uint64, age time.Duration)
}

// Server serves the watch and snapshot methods from a Source.
type Server struct {
	source Source
	log    *logs.Log
	// started is a time of clock.Boot.
	started time.Duration

	mu sync.Mutex
	// parts is the last snapshot split for transfer.
	parts []*lilacv1.SnapshotPart

	closed    chan struct{}
	closeOnce sync.Once
}

// NewServer returns a Server for the source. It logs each snapshot that it sends.
func NewServer(source Source, logger hclog.Logger) *Server {
	return &Server{source: source, log: logs.New(logger), started: clock.Boot(), closed: make(chan struct{})}
}

// Register adds the methods prefix+".watch" and prefix+".snapshot" to mux; prefix is
// "state" or "entry".
func (s *Server) Register(mux *link.Mux, prefix string) {
	mux.Handle(prefix+".watch", s.watch)
	mux.Handle(prefix+".snapshot", s.snapshot)
}

// Close ends all streams, so that the watchers switch to another sender.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

func (s *Server) watch(ctx context.Context, x *link.Exchange) error {
	req := &lilacv1.WatchRequest{}
	if err := x.Request(req); err != nil {
		return err
	}
	have, received := req.GetHave(), clock.Boot()
	// A recovery names no instance; it reads every revision for the audit trail.
	following := req.GetInstance() != ""
	if err := s.waitForContact(ctx); err != nil {
		return err
	}
	if err := s.waitForFirstRevision(ctx); err != nil {
		return err
	}
	for {
		// Obtained before the revisions are read, so that no revision is missed.
		changed := s.source.Changed()
		// Read before the age of the information: a suspension in between then makes
		// the information appear older, never newer.
		sentAfter := clock.Boot() - received
		update, err := s.update(have, following)
		if err != nil {
			return err
		}
		update.SaidAfterMs = uint64(sentAfter.Milliseconds())
		if err := x.Send(update); err != nil {
			return err
		}
		if n := len(update.GetRevisions()); n > 0 {
			have = update.GetRevisions()[n-1].GetNumber()
			if have < s.source.Revision() {
				continue
			}
		}
		if err := s.wait(ctx, changed, heartbeatInterval(req)); err != nil {
			return err
		}
	}
}

// waitForContact waits up to freshSourceTimeout for a process that has just started to
// contact its group. The revision on its disk may be outdated, and watchers would
// leave a sender that is behind.
func (s *Server) waitForContact(ctx context.Context) error {
	if clock.Boot()-s.started > freshSourcePeriod {
		return nil
	}
	poll := time.NewTicker(freshSourcePollInterval)
	defer poll.Stop()
	timeout := time.NewTimer(freshSourceTimeout)
	defer timeout.Stop()
	for s.source.Revision() > 0 {
		if _, age := s.source.LatestKnown(); age <= maxContactAge {
			return nil
		}
		select {
		case <-poll.C:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// waitForFirstRevision waits up to firstRevisionTimeout for a process that has just
// started to receive its first revision. Otherwise, when a whole data centre starts, all
// entries would leave the relay at once and connect to the state processes.
func (s *Server) waitForFirstRevision(ctx context.Context) error {
	changed := s.source.Changed()
	if !s.uninitialized() {
		return nil
	}
	timer := time.NewTimer(firstRevisionTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// uninitialized reports whether the source holds no revision and does not know whether
// any exists.
func (s *Server) uninitialized() bool {
	_, age := s.source.LatestKnown()
	return s.source.Revision() == 0 && age > maxContactAge
}

// heartbeatInterval returns the interval between updates that the watcher requested.
func heartbeatInterval(req *lilacv1.WatchRequest) time.Duration {
	if ms := req.GetSignOfLifeMs(); ms > 0 {
		return max(time.Duration(ms)*time.Millisecond, minHeartbeatInterval)
	}
	return spread.HeartbeatInterval
}

// wait returns nil at the next change or after the heartbeat interval.
func (s *Server) wait(ctx context.Context, changed <-chan struct{}, heartbeat time.Duration) error {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-s.closed:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this process is stopping; watch another one")
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (s *Server) update(have uint64, following bool) (*lilacv1.WatchUpdate, error) {
	newest, age := s.source.LatestKnown()
	update := &lilacv1.WatchUpdate{Newest: newest, AgeMs: uint32(min(age.Milliseconds(), 1<<31))}
	if s.uninitialized() {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this process has not received any revision yet; watch another one")
	}
	revisions, ok := s.source.Since(have, maxBatchRevisions)
	if held := s.source.Revision(); !ok || held > have && held-have > maxRevisionLag || following && supersededBytes(revisions) > maxSupersededBytes {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "revision %d is too old to resume from; fetch a snapshot first", have)
	}
	update.Revisions = truncateToBatch(revisions)
	return update, nil
}

// supersededBytes returns the total size of the documents that a later revision in the
// list replaces.
func supersededBytes(revisions []*lilacv1.Revision) int {
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

// truncateToBatch limits the list to maxBatchBytes, but keeps at least one revision, so
// that an update stays well below link.MaxFrame.
func truncateToBatch(revisions []*lilacv1.Revision) []*lilacv1.Revision {
	total := 0
	for i, revision := range revisions {
		total += proto.Size(revision)
		if total > maxBatchBytes && i > 0 {
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
	s.log.Line(logs.StateChange, "sending configuration snapshot", "to", req.GetInstance(), "revision", parts[0].GetRevision(), "from_part", req.GetFromPart(), "parts", parts[0].GetParts())
	for _, part := range parts {
		if err := x.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// partsFor returns the remaining parts of an interrupted transfer, or all parts of a
// recent revision. The parts are cached for resumed transfers and for other processes
// that start at the same time.
func (s *Server) partsFor(req *lilacv1.SnapshotRequest) ([]*lilacv1.SnapshotPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := len(s.parts) > 0 && req.GetRevision() == s.parts[0].GetRevision() && req.GetFromPart() < uint32(len(s.parts))
	if resumed && req.GetFromPart() > 0 {
		return s.parts[req.GetFromPart():], nil
	}
	if len(s.parts) > 0 && s.source.Revision()-s.parts[0].GetRevision() < maxRevisionLag/2 {
		if after, ok := s.source.Since(s.parts[0].GetRevision(), maxBatchRevisions); ok && supersededBytes(after) <= maxSupersededBytes {
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
