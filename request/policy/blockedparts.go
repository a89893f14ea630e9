package policy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/parts"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// A part of prompts may crash every server that begins an answer to a prompt with it. Requests
// with it needn't be alike, so convictions of single requests don't stop them. Package parts
// finds the part; here its requests are refused, at all instances and wherever they wait.
// docs/design/crashing-parts.md has the whole argument.

const (
	// partTrialQuiet is how long no server must have crashed before a blocked part is tried, so that
	// the trial's crash is its own.
	partTrialQuiet = 10 * time.Second
	// trialOpenFor is how long a claimed trial waits for a request with the part.
	trialOpenFor = 10 * time.Minute
	// claimInterval is the time between two claims of trials.
	claimInterval = 10 * time.Second
)

// partConviction is the prefix of the digests of convictions of parts.
const partConviction = "part:"

// PartConviction returns the digest of the conviction of a part of the pool's prompts.
func PartConviction(pool string, part uint64) string {
	return partConviction + pool + "/" + strconv.FormatUint(part, 16)
}

// parsePartConviction is the inverse of PartConviction.
func parsePartConviction(digest string) (pool string, part uint64, ok bool) {
	name, isPart := strings.CutPrefix(digest, partConviction)
	slash := strings.LastIndexByte(name, '/')
	if !isPart || slash < 0 {
		return "", 0, false
	}
	part, err := strconv.ParseUint(name[slash+1:], 16, 64)
	return name[:slash], part, err == nil
}

// PartBlocked reports that requests with a part of a prompt are refused from now on.
type PartBlocked struct {
	Pool string
	Part uint64
	// Reporter is where this instance has it from: itself, another instance or the log.
	Reporter string
	Evidence parts.Evidence
}

// PartLifted reports that requests with a part are no longer refused.
type PartLifted struct {
	Pool   string
	Part   uint64
	Reason LiftReason
}

// LiftReason is why a part is no longer blocked.
type LiftReason string

// The reasons for which the block of a part ends.
const (
	// LiftAnswered: a request with the part was answered.
	LiftAnswered LiftReason = "answered"
	// LiftRevoked: its conviction was lifted in the replicated log.
	LiftRevoked LiftReason = "conviction lifted"
	// LiftExpired: the time of the block is over.
	LiftExpired LiftReason = "expired"
)

// PartTried reports that a request with a blocked part may run, to find out whether the part still
// crashes servers.
type PartTried struct {
	ID   ID
	Pool string
	Part uint64
}

// ClaimTrial tells the shell to claim a trial of a convicted part in the replicated log, once.
type ClaimTrial struct {
	Digest string
	Trial  int
}

// TrialClaimed reports that this instance has claimed a trial: one request with the part may run.
type TrialClaimed struct{ Digest string }

// LiftConviction tells the shell to propose the end of a conviction.
type LiftConviction struct{ Digest string }

func (PartBlocked) action()    {}
func (PartLifted) action()     {}
func (PartTried) action()      {}
func (LiftConviction) action() {}
func (ClaimTrial) action()     {}
func (TrialClaimed) event()    {}

// reporterLog is the reporter of blocks from the replicated log.
const reporterLog = "replicated log"

// PartStats counts what was done about crashing parts of a pool's prompts.
type PartStats struct {
	// Blocked is the number of blocked parts.
	Blocked int
	// Refused counts requests refused because of them, Trials those let through.
	Refused, Trials uint64
}

func (p *pool) partStats() PartStats {
	return PartStats{Blocked: len(p.parts.Blocks()), Refused: p.partsRefused, Trials: p.partTrials}
}

// recordLostParts records that the request was lost with a crashed server. A request that was
// lost with one before says nothing new of its parts: it may have been moved from one server of an
// outage to the next.
func (c *core) recordLostParts(now time.Time, r *request, s *server) {
	if r.pastStart || c.suspects.Get(r.Digest) != nil {
		return
	}
	if r.pool.parts.Lost(now, s.name, r.Parts, r.pool.notPastStart()) {
		c.announce()
	}
}

// notPastStart counts the running requests whose answers are not past their start.
func (p *pool) notPastStart() int {
	count := 0
	for _, r := range p.running {
		if !r.pastStart {
			count++
		}
	}
	return count
}

// recordAnsweredParts records that the answer of the current attempt is past its start.
func (c *core) recordAnsweredParts(now time.Time, r *request) {
	if r.pastStart {
		return
	}
	r.pastStart = true
	for _, b := range r.pool.parts.Passed(now, r.started, r.Parts) {
		r.partTrial = nil
		c.emitLifted(r.pool, b, LiftAnswered)
		c.emit(LiftConviction{Digest: PartConviction(r.pool.name, b.Part)})
		c.announce()
	}
}

func (c *core) emitLifted(p *pool, b *parts.Block, reason LiftReason) {
	c.emit(PartLifted{Pool: p.name, Part: b.Part, Reason: reason})
}

func (c *core) exportParts(now time.Time) []*lilacv1.PoolParts {
	var all []*lilacv1.PoolParts
	for _, p := range c.poolOrder {
		if told := p.parts.Export(now, p.key); told != nil {
			all = append(all, told)
		}
	}
	return all
}

func (c *core) applyParts(now time.Time, from string, told []*lilacv1.PoolParts) {
	for _, evidence := range told {
		at := slices.IndexFunc(c.poolOrder, func(p *pool) bool { return p.key == evidence.GetPool() })
		if at < 0 {
			continue
		}
		p := c.poolOrder[at]
		blocked, lifted := p.parts.Merge(now, from, evidence, p.notPastStart())
		for _, b := range lifted {
			c.emitLifted(p, b, LiftAnswered)
		}
		for _, b := range blocked {
			c.partBlocked(now, p, b, from)
		}
	}
	if len(told) > 0 {
		c.decideParts(now)
	}
}

// decideParts blocks the parts against which the evidence is strong enough, and claims trials of
// those that are blocked.
func (c *core) decideParts(now time.Time) {
	for _, p := range c.poolOrder {
		for _, b := range p.parts.Decide(now, c.fleet.size()) {
			c.partBlocked(now, p, b, c.options.Instance)
			c.emit(Convict{Digest: PartConviction(p.name, b.Part), Servers: b.Evidence.Servers})
			c.announce()
		}
		c.claimTrials(now, p)
	}
}

// partBlocked refuses the requests with the part that wait or are not past their start.
func (c *core) partBlocked(now time.Time, p *pool, b *parts.Block, reporter string) {
	c.emit(PartBlocked{Pool: p.name, Part: b.Part, Reporter: reporter, Evidence: b.Evidence})
	for _, r := range c.findRequests(func(r *request) bool { return r.pool == p && c.blockOf(r) == b }) {
		if r.server != nil && r.pastStart {
			continue
		}
		// Its first byte may be on its way.
		r.everSent = r.everSent || r.server != nil
		c.stop(now, r)
		c.endBlocked(now, r, b)
	}
}

// blockOf returns the block for which the request must not start, or nil. A trial starts once.
func (c *core) blockOf(r *request) *parts.Block {
	b := r.pool.parts.Blocked(r.Parts)
	if b == r.partTrial && r.attempt == 0 {
		return nil
	}
	return b
}

// endBlocked ends a request with a blocked part that does not run.
func (c *core) endBlocked(now time.Time, r *request, b *parts.Block) {
	r.pool.partsRefused++
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_CONVICTED, partMessage(b.Part), r.partRetryAfter(now, b))
}

// refusingBlock returns the block for which an arriving request must be refused, or nil. The
// request may become the trial of the part.
func (c *core) refusingBlock(r *request) *parts.Block {
	b := r.pool.parts.Blocked(r.Parts)
	if b == nil || r.pool.openTrial != b {
		return b
	}
	r.pool.openTrial = nil
	r.partTrial = b
	r.pool.partTrials++
	c.emit(PartTried{ID: r.ID, Pool: r.pool.name, Part: b.Part})
	return nil
}

// returnPartTrial makes up for a trial that ended before it reached a server.
func (r *request) returnPartTrial() {
	if r.partTrial != nil && !r.reached {
		r.pool.openTrial = r.partTrial
	}
	r.partTrial = nil
}

// claimTrials claims the trials that are due. The replicated log grants each to one instance, so
// that few requests in all run however the instances see each other.
func (c *core) claimTrials(now time.Time, p *pool) {
	if p.openTrial != nil && (p.parts.Blocked([]uint64{p.openTrial.Part}) != p.openTrial || now.Sub(p.trialOpenedAt) > trialOpenFor) {
		p.openTrial = nil
	}
	if now.Sub(c.lastNewCrash) < partTrialQuiet || p.openTrial != nil || now.Before(p.nextClaimAt) {
		return
	}
	for _, b := range p.parts.Blocks() {
		digest, trial := PartConviction(p.name, b.Part), b.TrialDue(now)
		if trial > 0 && c.view.Convictions[digest] != nil && c.fleet.first(digest+"/"+strconv.Itoa(trial)) {
			p.nextClaimAt = now.Add(claimInterval)
			c.emit(ClaimTrial{Digest: digest, Trial: trial})
			return
		}
	}
}

// trialClaimed lets the next request with the part through.
func (c *core) trialClaimed(now time.Time, digest string) {
	if p, part := c.convictedPart(digest); p != nil {
		p.openTrial, p.trialOpenedAt = p.parts.Blocked([]uint64{part}), now
	}
}

// configureParts blocks the parts that the replicated log has convicted, and lifts the blocks whose
// convictions are gone.
func (c *core) configureParts(now time.Time, old, view *model.View) {
	for _, digest := range partConvictions(old) {
		p, part := c.convictedPart(digest)
		if p == nil || view.Convictions[digest] != nil {
			continue
		}
		if b := p.parts.Lift(now, part); b != nil {
			c.emitLifted(p, b, LiftRevoked)
		}
	}
	for _, digest := range partConvictions(view) {
		p, part := c.convictedPart(digest)
		conviction := view.Convictions[digest]
		known := p != nil && old.Pools[p.name] != nil && proto.Equal(old.Convictions[digest], conviction)
		if p == nil || known || !c.convictionInForce(now, digest) {
			continue
		}
		age := parts.BlockTTL - time.UnixMilli(conviction.GetExpiresUnixMs()).Sub(now)
		if b := p.parts.BlockUntilLifted(now, part, age, int(conviction.GetTrials())); b != nil {
			c.partBlocked(now, p, b, reporterLog)
		}
	}
}

// partConvictions returns the digests of the view's convictions of parts, in order.
func partConvictions(view *model.View) []string {
	var digests []string
	for digest := range view.Convictions {
		if strings.HasPrefix(digest, partConviction) {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	return digests
}

// convictedPart returns the pool and the part of a conviction; nil if the pool is unknown.
func (c *core) convictedPart(digest string) (*pool, uint64) {
	name, part, ok := parsePartConviction(digest)
	if !ok {
		return nil, 0
	}
	return c.pools[name], part
}

func (c *core) expireParts(now time.Time) {
	for _, p := range c.poolOrder {
		for _, b := range p.parts.Expire(now) {
			c.emitLifted(p, b, LiftExpired)
		}
	}
}

func partMessage(part uint64) string {
	return fmt.Sprintf("part %x of the prompt crashed backend servers and is blocked; leave it out, or ask the operators to lift its conviction", part)
}

// partRetryAfter returns when it makes sense to send the request again.
func (r *request) partRetryAfter(now time.Time, b *parts.Block) time.Duration {
	return min(max(b.UntilTrial(now), minRetryAfter), maxRetryAfter)
}
