package originlink

import (
	"context"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
)

// copied is the last origin of an attempt of which copies were sent, and to whom any were.
type copied struct {
	origin  streamorigin.Origin
	holders []member.Peer
	expires time.Time
	// instances is how many of the holders were chosen among the instances; keepers is set if
	// state processes were known.
	instances int
	keepers   bool
	// mixed is set while some holders may have an earlier origin.
	mixed bool
}

// Record holds the origin of the attempt's stream, and leaves copies with other instances in the
// background unless they can infer it, which takes a route that has the one service only. number
// counts the instance's own attempts at servers.
//
// If others may hold another origin of the same attempt, it returns once all of those have
// the new one, or with an error that states that they may not; the attempt must not be sent then.
// An error also tells that another request has the same id and began elsewhere: the numbers of one
// request rise.
func (l *Link) Record(ctx context.Context, attempt string, origin streamorigin.Origin, onlyService bool, number int, ttl time.Duration) error {
	attempt = keyOf(attempt)
	needed := !onlyService || l.options.Versions(origin.Service).NeedsCopies()
	var holders []member.Peer
	if needed {
		holders = l.choose(attempt)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if held, earlier, exists := l.table.Get(now, attempt); exists && held != origin && earlier >= number {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "another stream with this attempt id began at another software version; send the request again with an id of its own")
	}
	if !l.table.Put(now, attempt, origin, number, ttl) {
		return nil
	}
	ttl = min(ttl, streamorigin.MaxTTL)
	message := &lilacv1.StreamOrigin{
		Attempt: attempt, Service: origin.Service, SoftwareVersion: origin.Version, Number: uint32(number), TtlMs: uint32(ttl.Milliseconds()),
	}
	unsent := unsentOrigin{message, now.Add(ttl)}
	l.forgetUncopied(attempt)
	var confirmed []member.Peer
	if earlier, exists := l.copied[attempt]; exists && (earlier.mixed || earlier.origin != origin) {
		if err := l.replace(ctx, earlier.holders, unsent); err != nil {
			return err
		}
		confirmed = earlier.holders
	}
	if !needed {
		l.keepUncopied(unsent)
		return nil
	}
	l.sendCopies(unsent, holders, confirmed)
	return nil
}

// choose returns the instances that get copies of the origin.
func (l *Link) choose(attempt string) []member.Peer {
	l.mu.Lock()
	peers := l.peers
	l.mu.Unlock()
	return streamorigin.Holders(l.options.Self, peers, attempt)
}

// replace sends the origin to all instances that may hold an earlier one of the attempt. The caller
// holds mu, which is released meanwhile.
func (l *Link) replace(ctx context.Context, earlier []member.Peer, origin unsentOrigin) error {
	replaced := copied{origin: originOf(origin.message), holders: earlier, expires: origin.expires, mixed: true}
	l.copied[origin.message.GetAttempt()] = replaced
	l.mu.Unlock()
	err := l.confirm(ctx, earlier, origin)
	l.mu.Lock()
	if err != nil {
		l.failures.Add(1)
		return err
	}
	l.copies.Add(uint64(len(earlier)))
	replaced.mixed = false
	l.copied[origin.message.GetAttempt()] = replaced
	return nil
}

// sendCopies sends the origin to its holders, a state process and those that got earlier ones, but not to
// those that have confirmed it. The caller holds mu.
func (l *Link) sendCopies(origin unsentOrigin, chosen, confirmed []member.Peer) {
	attempt := origin.message.GetAttempt()
	l.forgetUncopied(attempt)
	if len(chosen) < streamorigin.Copies || len(l.keepers) == 0 {
		l.short[attempt] = origin
	}
	holders := append(slices.Clone(chosen), l.keeper(attempt)...)
	for _, holder := range l.copied[attempt].holders {
		if !contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	for _, holder := range holders {
		if !contains(confirmed, holder) {
			l.enqueue(holder, origin)
		}
	}
	l.copied[attempt] = copied{
		origin: originOf(origin.message), holders: holders, expires: origin.expires, instances: len(chosen), keepers: len(l.keepers) > 0,
	}
}

func contains(peers []member.Peer, peer member.Peer) bool {
	return slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Name == peer.Name })
}

// confirm returns nil once all holders have the origin.
func (l *Link) confirm(ctx context.Context, holders []member.Peer, origin unsentOrigin) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	failed := make(chan error, len(holders))
	for _, holder := range holders {
		go func() {
			request := &lilacv1.RecordOriginsRequest{Origins: []*lilacv1.StreamOrigin{origin.message}}
			failed <- l.options.Dial(holder.Address).Call(ctx, recordMethod, request, &lilacv1.RecordOriginsReply{})
		}()
	}
	for range holders {
		if err := <-failed; err != nil {
			return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "another instance may hold the software version of an earlier attempt; send the request again")
		}
	}
	return nil
}

// Ended tells that the answer of the attempt is complete, so that its origin needs no copies.
func (l *Link) Ended(attempt string) {
	attempt = keyOf(attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetUncopied(attempt)
}

// SendCopies has Run send copies of origins that other instances could infer when they were recorded
// and may not be able to infer any more. It does not block.
func (l *Link) SendCopies() {
	select {
	case l.look <- struct{}{}:
	default:
	}
}

// sendDue sends the copies that SendCopies tells of, and those for which there were too few holders
// before.
func (l *Link) sendDue() {
	due := append(l.needed(), l.lacking()...)
	for batch := range slices.Chunk(due, copiesBatch) {
		chosen := make([][]member.Peer, len(batch))
		for i, origin := range batch {
			chosen[i] = l.choose(origin.message.GetAttempt())
		}
		l.mu.Lock()
		for i, origin := range batch {
			if l.isDue(origin, len(chosen[i])) {
				l.sendCopies(origin, chosen[i], nil)
			}
		}
		l.mu.Unlock()
	}
}

// isDue reports whether copies of the origin are still to be sent, given the number of instances that may
// hold it: its answer has not ended, and no later attempt has replaced it. The caller holds mu.
func (l *Link) isDue(origin unsentOrigin, instances int) bool {
	attempt := origin.message.GetAttempt()
	if l.uncopied[origin.message.GetService()][attempt] == origin {
		return true
	}
	before := l.copied[attempt]
	return l.short[attempt] == origin && (instances > before.instances || !before.keepers && len(l.keepers) > 0)
}

// needed returns the uncopied origins that others may not be able to infer any more.
func (l *Link) needed() []unsentOrigin {
	l.mu.Lock()
	services := slices.Collect(maps.Keys(l.uncopied))
	l.mu.Unlock()
	var needed []unsentOrigin
	for _, service := range services {
		if !l.options.Versions(service).NeedsCopies() {
			continue
		}
		l.mu.Lock()
		needed = slices.AppendSeq(needed, maps.Values(l.uncopied[service]))
		l.mu.Unlock()
	}
	return needed
}

// lacking returns the origins that have too few holders if there may be more holders now.
func (l *Link) lacking() []unsentOrigin {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.moreHolders {
		return nil
	}
	l.moreHolders = false
	return slices.Collect(maps.Values(l.short))
}

func (l *Link) keepUncopied(origin unsentOrigin) {
	service := origin.message.GetService()
	if l.uncopied[service] == nil {
		l.uncopied[service] = make(map[string]unsentOrigin)
	}
	l.uncopied[service][origin.message.GetAttempt()] = origin
}

func (l *Link) forgetUncopied(attempt string) {
	for _, origins := range l.uncopied {
		delete(origins, attempt)
	}
	delete(l.short, attempt)
}
