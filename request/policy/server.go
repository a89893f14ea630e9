package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/pace"
)

const (
	// defaultSlots is the number of concurrent requests of a server whose configuration does not
	// state one.
	defaultSlots = 8
	// defaultStepOffset is the batch size at which a step takes twice as long as with an empty
	// batch: a step takes a fixed time plus some for each request.
	defaultStepOffset = 6
	// defaultGapPerRequest is the initial estimate of the gap between tokens divided by batch
	// size plus step offset, in seconds.
	defaultGapPerRequest = 0.0018
	// defaultPrefill is the initial estimate of the prefill time of one prompt token, in seconds.
	defaultPrefill = 0.00015
	// defaultServiceTime is the initial estimate of the response time of a plain service, in
	// seconds.
	defaultServiceTime = 0.08
	// headroom is the fraction of a target for the gap between tokens that batches are sized for.
	headroom = 0.93
	// historyLength is the number of samples of the own load kept, one for each slowTick.
	historyLength = 64
	// leavingGrace is the time within which a notice that a server is leaving must take effect.
	leavingGrace = 3 * time.Second
	// reportAgeScale is the age in seconds at which the weight of a load report has fallen to
	// half.
	reportAgeScale = 0.4
	// typicalDigestAge is the typical age of peer digests, in seconds.
	typicalDigestAge = 0.35
)

// server is the state of a backend server as known to this instance.
type server struct {
	name string
	// key identifies the server on the load board.
	key        uint32
	dataCenter string
	// remote is true for servers in another region.
	remote  bool
	service bool
	// address is where the server is reached.
	address string
	// version is the version of the server's software; empty if unknown. unadmitted is true
	// until answers that callers may resume may begin at it.
	version    string
	unadmitted bool
	// largeBatch is true for engines whose configuration states a cache size.
	largeBatch bool
	slots      int
	// configLeaving is set by the configuration; leaving and gone are set by the membership of
	// servers.
	configLeaving, leaving, gone bool
	closedAt                     time.Time

	running []*request
	// ownBacklog is the prompt tokens of this instance's requests that have no first token yet.
	ownBacklog backlog
	// peerBacklog is the same for other instances, from their digests.
	peerBacklog backlog
	// peerLoad is the number of requests of other instances, from their digests.
	peerLoad float64
	// boardLoad and boardBacklog are the same for all other instances together, from the load
	// board.
	boardLoad    float64
	boardBacklog backlog
	// boardBulk is the number of bulk requests of other instances, which engines preempt for more
	// urgent ones, from the load board.
	boardBulk float64
	// otherLoad is the estimate of the other instances' requests from digests, load board and
	// load reports.
	otherLoad float64

	// engine is the pool's shared engine model; nil for engines with small batches and for plain
	// services.
	engine *engineModel
	// pace is how long work takes here relative to a usual server. The times below are those of
	// a usual server; paceNow and paceKind, the last values of the pace, lengthen them.
	pace              pace.Server
	paceNow, paceKind float64
	// peerPace and boardPace are the kinds that other instances know, from digests and from the
	// load board.
	peerPace, boardPace pace.Sum
	// prefillRatio is the server's prefill time per token relative to its pool's.
	prefillRatio float64
	// stepOffset is the batch size at which a step takes twice as long as with an empty batch.
	stepOffset float64
	// gapPerRequest is the gap between tokens divided by batch size plus stepOffset, prefill the
	// prefill time of a prompt token, both in seconds.
	gapPerRequest float64
	prefill       float64
	// fetchPerToken is the time to fetch the KV cache of one token from another engine; 0 if the
	// server cannot fetch.
	fetchPerToken time.Duration
	// serviceTime is the response time of a plain service, in seconds.
	serviceTime float64
	// decoding is the number of own requests that have their first token.
	decoding    int
	lastTokenAt time.Time
	// stall is the time without a token if answers stall, else 0.
	stall     time.Duration
	peerGapAt time.Time

	history      [historyLength]int16
	historyIndex int
	// reportAge is the age of the last load report in seconds; negative for none.
	reportAge float64
	// reportedAt is when the server made that report.
	reportedAt time.Time
	// reportedLoad is the load by that report without this instance's requests.
	reportedLoad float64

	ejectedUntil time.Time
	ejectFor     time.Duration
	// ejectedFor is the reason of the last ejection.
	ejectedFor AvailabilityReason
	// probing limits the server to one request at a time until it has answered one after a
	// failure.
	probing      bool
	crashedAt    time.Time
	crashReports crashReports
	// crashFirstReportedAt and crashLastReportedAt are the first and the latest report of the
	// last crash, from any instance.
	crashFirstReportedAt, crashLastReportedAt time.Time
	busyUntil                                 time.Time

	// leavingUntil is when a peer's report that the server is leaving expires.
	leavingUntil time.Time
	// leavingNoticeAt is when the platform first announced that the server is leaving, goneAt
	// when it was found gone.
	leavingNoticeAt, goneAt time.Time
	// lastResponseAt is the time of the last response or token for any request of this instance.
	lastResponseAt time.Time
	// failureRate is the moving average of the share of requests that failed here.
	failureRate float64
	// lane is the kind of request that the engine is dedicated to; see lanes.go.
	lane lane
	// noLongPromptsUntil is until when an engine that left the tight lane gets no long prompts.
	noLongPromptsUntil time.Time
	// unreachable is true while the server's data centre is cut off.
	unreachable bool
	// skipped is true if this instance starts nothing on the server until the next load update;
	// see herd.go.
	skipped bool
	// startBudget is how many requests, net of those that end, this instance may still start
	// until the next load update; displaceBudget is how many it may start by displacing bulk.
	startBudget, displaceBudget float64
	// fullUntil is until when the server counts as full after a late first token.
	fullUntil time.Time

	// rateLimit is the request rate limit that the server states; allowance is what this
	// instance may send of it.
	rateLimit serverLimit
	allowance allowance

	// rejects is true if the server states how many rejections it survives; ownSlots is this
	// instance's part of its slots then, rejectionPause the pause after a rejection.
	rejects  bool
	ownSlots int
	// extraStart is true if this instance may start one more request until the next slowTick.
	extraStart     bool
	rejectionPause time.Duration

	// trial is the digest of the suspect whose trial runs here or has the server reserved;
	// peerTrials is the number of trials by other instances.
	trial      string
	peerTrials int
	cache      prefixCache
	memory     serverMemory
}

func newServer(name string) *server {
	return &server{name: name, key: loadboard.Key(name), stepOffset: defaultStepOffset, gapPerRequest: defaultGapPerRequest, prefill: defaultPrefill, serviceTime: defaultServiceTime, prefillRatio: 1, paceNow: pace.Usual, paceKind: pace.Usual, startBudget: math.Inf(1), cache: newPrefixCache()}
}

// load returns the estimated number of requests of all instances on the server.
func (s *server) load() float64 { return float64(len(s.running)) + s.otherLoad }

func (s *server) attach(r *request) {
	r.serverIndex = len(s.running)
	s.running = append(s.running, r)
}

func (s *server) detach(r *request) {
	last := len(s.running) - 1
	s.running[r.serverIndex] = s.running[last]
	s.running[r.serverIndex].serverIndex = r.serverIndex
	s.running[last] = nil
	s.running = s.running[:last]
}
