// Package policy schedules the requests of one instance: it decides which request
// runs when and on which backend server, which waits, and which is refused.
//
// It is a deterministic core. Step takes the time and one event and returns
// actions. It starts no goroutine, reads no clock, opens no socket, and draws
// random numbers from a seeded source, so that the entry process and the bench
// can drive the same code. The code that calls Step and carries out the actions,
// such as package relay, is called the shell.
package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// ID identifies a request. It is unique within the lifetime of an instance.
type ID uint64

// Event is an input of Step. The types below implement it.
type Event interface{ event() }

// Action is an output of Step that the shell must carry out at once. The types
// below implement it.
type Action interface{ action() }

// Arrival is a new, well-formed request.
type Arrival struct {
	ID    ID
	Class string
	Team  string
	// Target is the requested model or service.
	Target string
	// Digest is the SHA-256 of team, path and body, in hexadecimal.
	Digest string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's limit on the answer's length; 0 means none.
	MaxTokens int
	// Hint is the caller's estimate of the answer's length in tokens; 0 means none.
	Hint int
	// Prefix holds the blocks of the prompt, in order.
	Prefix []Block
	// Parts identify the parts of the prompt that other requests may share, whatever precedes
	// them; the part that is the request's own is not among them.
	Parts []uint64
	// Deadline is set by the caller; zero means none.
	Deadline time.Time
	// Idempotent requests may be sent again after they reached a server.
	Idempotent bool
	// Resumable is set if the caller may resume the answer at any instance.
	Resumable bool
	// Resumed is set if the caller has a part of the answer from an earlier attempt, which began
	// at a server of the software version Version.
	Resumed bool
	Version string
	// Pinned answers stay on the server that generates them until it fails, because
	// their callers cannot tell a change of server from a failure.
	Pinned bool
}

// Block is a part of a prompt that other requests may share.
type Block struct {
	// Hash covers the block and all blocks before it.
	Hash uint64
	// End is the number of prompt tokens up to the end of the block.
	End int
}

// Canceled reports that the caller has disconnected.
type Canceled struct{ ID ID }

// Sent reports that the first byte of an attempt may have been written.
type Sent struct {
	ID      ID
	Attempt int
}

// Tokens reports new tokens of the answer; the first event of an attempt includes
// the first token.
type Tokens struct {
	ID      ID
	Attempt int
	Count   int
}

// Recomputed reports that an attempt that was to reuse a transferred KV cache did
// not get it and computes its prefix again.
type Recomputed struct {
	ID      ID
	Attempt int
}

// Finished reports that the answer is complete.
type Finished struct {
	ID      ID
	Attempt int
}

// Failed reports that an attempt ended without a complete answer.
type Failed struct {
	ID      ID
	Attempt int
	// Sent is false only if it is certain that no byte was written.
	Sent bool
	// Crashed is true if the connection to the server was reset or refused, or could not be
	// opened. Silent is true in the last case if nothing reset or refused it, so that the server
	// may be sound.
	Crashed, Silent bool
	// RetryAfter is the server's own value, if it refused the request because of load.
	RetryAfter time.Duration
	// Refused is true if the server refused the request and did not run it.
	Refused bool
	// Misdirected is true for a refused request that reached another server than the expected
	// one: the server's address has changed hands.
	Misdirected bool
	// Permanent is true if another server would give the same answer, such as for a
	// bad request.
	Permanent bool
	// ServerError is true if the server ran the request and returned an error of its
	// own. The server is reachable and stays in use.
	ServerError bool
}

// Stopped reports that an attempt that the core stopped has ended. Each Stop is followed by a
// Stopped, or by the Finished, Failed or Canceled of an attempt that ended at the same moment.
type Stopped struct {
	ID      ID
	Attempt int
	// MayHaveRun is false only if it is proved that the attempt did not run and never will.
	MayHaveRun bool
}

// LoadReport is a server's own report of its load, which is Age old.
type LoadReport struct {
	Server  string
	Running int
	Waiting int
	// KVUsed is the used share of the KV cache, from 0 to 1.
	KVUsed float64
	// Pace is how long work takes on the server at this moment, relative to a usual server; 0 if
	// the server does not state it.
	Pace float64
	Age  time.Duration
}

// CacheEvent reports that a server stored or dropped prefix blocks.
type CacheEvent struct {
	Server   string
	Sequence uint64
	Stored   []uint64
	Dropped  []uint64
	// Cleared means that the whole cache was emptied.
	Cleared bool
}

// ServerState is the state of a server according to membership, which is
// independent of the configuration.
type ServerState struct {
	Server string
	// Leaving servers get no new requests.
	Leaving bool
	// Gone servers are down.
	Gone bool
}

// Configured puts a newer configuration revision into force.
type Configured struct{ View *model.View }

// PeerDigest is the digest of another instance. The validity of the promises in
// it is counted from At.
type PeerDigest struct {
	Digest *lilacv1.Digest
	At     time.Time
}

// PeerGone reports that another instance can no longer be reached.
type PeerGone struct{ Instance string }

// Leaving reports that this instance is being stopped and breaks off its requests at Until.
type Leaving struct{ Until time.Time }

// Draining makes this instance refuse new requests.
type Draining struct{}

// Tick lets the core act on elapsed time; the shell sends one each TickInterval.
type Tick struct{}

// TickInterval is the interval at which the shell sends Tick events.
const TickInterval = 10 * time.Millisecond

// Start tells the shell to send the request to the server.
type Start struct {
	ID      ID
	Server  string
	Attempt int
	// Version is the software version of the server; empty if unknown.
	Version string
	// Priority is the tier, for engines that honor priorities; 0 is the most urgent.
	Priority int
	// Level is the engine priority by rank and tier, from 0 (most urgent) to 9. Late
	// requests of the least urgent classes have the last one.
	Level int
	// ResumeFrom names the server that holds the KV cache of an interrupted answer, if
	// it can be reused; else it is empty. The tokens so far, which the shell keeps, are
	// sent along as a prefix.
	ResumeFrom string
	// FetchFrom names the engine from which Server can fetch a shared part of the
	// prompt that it lacks; empty for none.
	FetchFrom string
	// Continue is true if the caller already holds a part of the answer.
	Continue bool
	// Decision holds the reasons for choosing this server, for the log.
	Decision Decision
}

// Decision holds the inputs of a server choice at the time it was made.
type Decision struct {
	// Waited is how long the request waited at this instance.
	Waited time.Duration
	// Own is the number of requests that this instance runs on the server, Load the
	// estimate for all instances.
	Own  int
	Load float64
	// ReportAge is the age of the server's last load report; negative for none.
	ReportAge time.Duration
	// Pace is how long work is expected to take on the server relative to a usual one, Reported
	// what the server last stated, PaceAge ago; negative for no report.
	Pace, Reported float64
	PaceAge        time.Duration
	// Uncached is the part of the prompt that the server must compute, Ahead the
	// prompt work before it, both in tokens.
	Uncached, Ahead float64
	// Fetched is the part of the prompt that is fetched from another engine, in tokens.
	Fetched float64
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Remote is true if the server is in another region.
	Remote bool
	// Lane is true if the engine is in a lane, that is, dedicated to answers with
	// strict targets.
	Lane bool
	// Displaces is true if the request starts in place of bulk requests; Bulk is how
	// many of those all instances run on the server.
	Displaces bool
	Bulk      float64
	// Need is the memory that the request needs, Held what the known requests of all instances
	// need on the server, Memory the size of its memory, in tokens; all 0 in pools that are not
	// contended.
	Need, Held, Memory float64
	// Retry is why the request starts again; empty if no attempt can have reached a server.
	Retry RetryCause
	// Home is 1 or more if the server is one of the home engines of the request's
	// shared prompt, by order of preference, else 0.
	Home int
	// Team is the service of the request's team; nil unless the pool is contended.
	Team *TeamShare
}

// Refuse tells the shell to answer the caller at once with a typed error.
type Refuse struct {
	ID         ID
	Kind       fault.Kind
	Message    string
	NotRun     fault.NotRun
	RetryAfter time.Duration
	// Queue is the state in which the request was given up, for the log.
	Queue QueueState
	// Shortage tells why there is no room; nil if the request was refused for another reason.
	Shortage *Shortage
	// RetryDenied is why the request was not retried; empty if it was not to be. RetriesLeft
	// is the number of retries left in the budget.
	RetryDenied RetryDenial
	RetriesLeft float64
}

// QueueState describes the state of the queue for a request when the request was given up.
type QueueState struct {
	// Position is the request's position (see model.Position), -1 if it was refused
	// before it was queued. Before counts the requests that would have started first.
	Position, Before int
	// Running is the number of running requests of this instance of the same or a more
	// urgent position, Slots how many of them it may run.
	Running, Slots float64
	// Blocked is why the request had not started.
	Blocked BlockReason
	// Reason is why a contended pool refused the request; empty for other refusals. ExpectedEnd is
	// when the answer would have ended at best, Ahead the time for the prompt work before it, as of
	// the last check, and Limit the time that the caller still waits, 0 for no limit.
	Reason                    RefusalReason
	ExpectedEnd, Limit, Ahead time.Duration
	// Team is the service of the request's team; nil unless the pool is contended.
	Team *TeamShare
}

// BlockReason is why a waiting request could not start at the last attempt.
type BlockReason string

// The reasons for which requests wait.
const (
	// NotBlocked: the request was refused before it was queued.
	NotBlocked BlockReason = ""
	// BlockedByOrder: requests before it in the queue could not start.
	BlockedByOrder BlockReason = "order"
	// BlockedByShare: this instance's share of the pool's slots is in use.
	BlockedByShare BlockReason = "share"
	// BlockedByRoom: no suitable server has a free slot.
	BlockedByRoom BlockReason = "room"
)

// Stop tells the shell to cancel an attempt at its server at once.
type Stop struct {
	ID      ID
	Server  string
	Attempt int
}

// Convict tells the shell to propose a conviction: all instances then refuse
// requests with this digest.
type Convict struct {
	Digest  string
	Team    string
	Servers []string
}

// Broken tells the shell to end a stream with an explicit error because the rest
// of the answer is not available. The stream must not look complete.
type Broken struct {
	ID         ID
	Kind       fault.Kind
	Message    string
	RetryAfter time.Duration
}

// Announce tells the shell to send the digest to all other instances at once,
// since it holds information that cannot wait for the next interval.
type Announce struct{}

func (Announce) action()   {}
func (Arrival) event()     {}
func (Canceled) event()    {}
func (Sent) event()        {}
func (Tokens) event()      {}
func (Recomputed) event()  {}
func (Finished) event()    {}
func (Failed) event()      {}
func (Stopped) event()     {}
func (LoadReport) event()  {}
func (CacheEvent) event()  {}
func (ServerState) event() {}
func (Configured) event()  {}
func (PeerDigest) event()  {}
func (PeerGone) event()    {}
func (Leaving) event()     {}
func (Draining) event()    {}
func (Tick) event()        {}

func (Start) action()   {}
func (Refuse) action()  {}
func (Stop) action()    {}
func (Convict) action() {}
func (Broken) action()  {}

// Core is the scheduler as the entry process and the bench use it. Calls must not
// overlap.
type Core interface {
	Step(now time.Time, event Event) []Action
	// Digest returns the state that other instances need, as of now.
	Digest(now time.Time) *lilacv1.Digest
	// Loads returns this instance's report for the load board.
	Loads(now time.Time) loadboard.Report
	// LendRetries lends up to the wanted number of the pool's retries to another instance, and
	// returns how many.
	LendRetries(now time.Time, pool string, wanted int) int
	// Stats returns the counters and the invariant violations.
	Stats() Stats
}
