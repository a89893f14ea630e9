// Package policy decides, for one instance, which request runs when and on
// which backend server, which waits, and which is refused.
//
// It is a deterministic core: Step takes the time and one event and returns
// actions. It starts no goroutine, reads no clock, opens no socket and draws
// its random numbers from a seeded source. The entry process and the bench run
// the same core.
package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// ID names a request within one instance's life.
type ID uint64

// Event is something that happened; see the types below.
type Event interface{ event() }

// Action is something the shell must do at once; see the types below.
type Action interface{ action() }

// Arrival is a new request that passed the checks of its form.
type Arrival struct {
	ID    ID
	Class string
	Team  string
	// Target is the model or service that it asks for.
	Target string
	// Digest is SHA-256 of team, path and body, in hexadecimal.
	Digest string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's bound on the answer; 0 means none.
	MaxTokens int
	// Hint is the caller's own guess of the answer's tokens; 0 means none.
	Hint int
	// Prefix holds the blocks of the prompt, in order.
	Prefix []Block
	// Deadline is the caller's own; zero means none.
	Deadline time.Time
	// Idempotent requests may be sent again after they reached a server.
	Idempotent bool
	// Pinned answers stay at the server that makes them until it fails: their
	// callers could not tell a change of server from a fault.
	Pinned bool
}

// Block is a piece of a prompt that other requests may share.
type Block struct {
	// Hash covers the block and all before it.
	Hash uint64
	// End is the number of tokens up to its end.
	End int
}

// Canceled tells that the caller has gone.
type Canceled struct{ ID ID }

// Sent tells that the first byte of an attempt may have been written.
type Sent struct {
	ID      ID
	Attempt int
}

// Tokens tells that the answer grew; the first one carries the first token.
type Tokens struct {
	ID      ID
	Attempt int
	Count   int
}

// Recomputed tells that an attempt that was to go on with its KV cache could not
// have it, and computes its prefix again.
type Recomputed struct {
	ID      ID
	Attempt int
}

// Finished tells that the whole answer came.
type Finished struct {
	ID      ID
	Attempt int
}

// Failed tells that an attempt ended without a whole answer.
type Failed struct {
	ID      ID
	Attempt int
	// Sent is false only where it is proved that no byte was written.
	Sent bool
	// Crashed is true where the server itself went away (connection reset or refused).
	Crashed bool
	// RetryAfter is the server's own, where it refused for load.
	RetryAfter time.Duration
	// Refused is true where the server refused the request and did not run it.
	Refused bool
	// Permanent is true where another server would answer the same, such as a bad request.
	Permanent bool
	// ServerError is true where the server ran the request and answered with a
	// failure of its own: it is there, and may do better next time.
	ServerError bool
}

// LoadReport is a server's own word on its load, late by Age.
type LoadReport struct {
	Server  string
	Running int
	Waiting int
	// KVUsed is the used share of the KV cache, 0 to 1.
	KVUsed float64
	Age    time.Duration
}

// CacheEvent tells that a server stored or dropped a prefix block.
type CacheEvent struct {
	Server   string
	Sequence uint64
	Stored   []uint64
	Dropped  []uint64
	// Cleared means that the whole cache was emptied.
	Cleared bool
}

// ServerState is what membership knows of a server besides the configuration.
type ServerState struct {
	Server string
	// Leaving servers get no new work.
	Leaving bool
	// Gone servers are down.
	Gone bool
}

// Configured brings a newer revision into force.
type Configured struct{ View *model.View }

// PeerDigest is another instance's digest; its promises are counted from At.
type PeerDigest struct {
	Digest *lilacv1.Digest
	At     time.Time
}

// PeerGone tells that another instance is no longer reached.
type PeerGone struct{ Instance string }

// Draining tells that this instance takes no new requests.
type Draining struct{}

// Tick lets time-driven decisions happen; the shell sends one each TickInterval.
type Tick struct{}

// TickInterval is how often the shell sends a Tick.
const TickInterval = 10 * time.Millisecond

// Start tells the shell to send the request to the server.
type Start struct {
	ID      ID
	Server  string
	Attempt int
	// Priority is for engines that honour one; 0 is the most urgent.
	Priority int
	// Level is the priority with the rank within its tier, from 0 up to 9; requests
	// that are late already have the last.
	Level int
	// ResumeFrom names the server that holds the first part of a broken
	// stream, where it may be resumed; empty otherwise. The tokens so far, which
	// the shell keeps, go along as a prefix.
	ResumeFrom string
	// FetchFrom names the engine that holds a shared part of the prompt that Server
	// lacks, and from which it can fetch it; empty for none.
	FetchFrom string
	// Continue is true where the caller already holds a part of the answer.
	Continue bool
	// Decision is what decided the place, for the log.
	Decision Decision
}

// Decision holds the inputs of a choice, as of its moment.
type Decision struct {
	// Waited is how long the request waited here.
	Waited time.Duration
	// Own is what this instance runs on the server, Load what all are thought to.
	Own  int
	Load float64
	// ReportAge is the age of the server's last word on its load; negative for none.
	ReportAge time.Duration
	// Uncached is the part of the prompt that the server must read, in tokens, and
	// Ahead what it must read before.
	Uncached, Ahead float64
	// Fetched is the part of the prompt that it fetches from another engine, in tokens.
	Fetched float64
	// Expected is the time to the first token.
	Expected time.Duration
	// Remote is true on a server in another data centre.
	Remote bool
	// Lane is true on an engine that is kept for tight answers.
	Lane bool
	// Displaces is true where it starts in the place of bulk, Bulk how much of that all
	// instances run there.
	Displaces bool
	Bulk      float64
	// Home is 1 or 2 on the engines that the request's shared prompt belongs to.
	Home int
}

// Refuse tells the shell to answer the caller at once with a typed error.
type Refuse struct {
	ID         ID
	Kind       fault.Kind
	Message    string
	NotRun     fault.NotRun
	RetryAfter time.Duration
	// Queue is what the request waited for, for the log.
	Queue QueueState
}

// QueueState says how a request stood when it was given up.
type QueueState struct {
	// Level is its place in the order of urgency, -1 where it was refused before it had
	// one; Before counts the requests that would have started before it.
	Level, Before int
	// Running and Slots are what this instance runs of its level and of more urgent
	// ones, and what it may run.
	Running, Slots float64
	// Blocked is why it had not started.
	Blocked BlockReason
}

// BlockReason is why a waiting request did not start when it was last looked at.
type BlockReason string

// The reasons for which requests wait.
const (
	// NotBlocked requests were refused before they waited.
	NotBlocked BlockReason = ""
	// BlockedByOrder: others that go first did not start.
	BlockedByOrder BlockReason = "order"
	// BlockedByShare: this instance's part of the pool's slots is taken.
	BlockedByShare BlockReason = "share"
	// BlockedByRoom: no server that suits it has room.
	BlockedByRoom BlockReason = "room"
)

// Stop tells the shell to cancel an attempt at its server, at once.
type Stop struct {
	ID      ID
	Server  string
	Attempt int
}

// Convict tells the shell to propose that all instances refuse this request.
type Convict struct {
	Digest  string
	Team    string
	Servers []string
}

// Broken tells the shell to end a stream with an explicit error, since the
// rest of the answer can't be had. It never looks complete.
type Broken struct {
	ID         ID
	Kind       fault.Kind
	Message    string
	RetryAfter time.Duration
}

// Announce tells the shell to send the digest to all other instances at once,
// since it holds news that can't wait for the next interval.
type Announce struct{}

func (Announce) action()   {}
func (Arrival) event()     {}
func (Canceled) event()    {}
func (Sent) event()        {}
func (Tokens) event()      {}
func (Recomputed) event()  {}
func (Finished) event()    {}
func (Failed) event()      {}
func (LoadReport) event()  {}
func (CacheEvent) event()  {}
func (ServerState) event() {}
func (Configured) event()  {}
func (PeerDigest) event()  {}
func (PeerGone) event()    {}
func (Draining) event()    {}
func (Tick) event()        {}

func (Start) action()   {}
func (Refuse) action()  {}
func (Stop) action()    {}
func (Convict) action() {}
func (Broken) action()  {}

// Core is what the entry process and the bench drive. Calls must not overlap.
type Core interface {
	Step(now time.Time, event Event) []Action
	// Digest returns what the other instances must know, as of now.
	Digest(now time.Time) *lilacv1.Digest
	// Loads is what this instance runs on each server and sent there lately.
	Loads(now time.Time) loadboard.Report
	// Stats returns the counters and the invariants that were seen broken.
	Stats() Stats
}
