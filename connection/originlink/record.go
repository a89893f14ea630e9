package originlink

import (
	"context"
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
	// mixed is set while some holders may have an earlier origin.
	mixed bool
}

// Record holds the origin of the attempt's stream, and leaves copies with other instances in the
// background unless they can infer it. number counts the instance's own attempts at servers.
//
// If others may hold another origin of the same attempt, it returns once all of those have
// the new one, or with an error that states that they may not; the attempt must not be sent then.
func (l *Link) Record(ctx context.Context, attempt string, origin streamorigin.Origin, number int, ttl time.Duration) error {
	attempt = keyOf(attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if !l.table.Put(now, attempt, origin, number, ttl) {
		return nil
	}
	ttl = min(ttl, streamorigin.MaxTTL)
	message := &lilacv1.StreamOrigin{
		Attempt: attempt, Service: origin.Service, SoftwareVersion: origin.Version, Number: uint32(number), TtlMs: uint32(ttl.Milliseconds()),
	}
	unsent := unsentOrigin{message, now.Add(ttl)}
	l.forgetUncopied(attempt)
	if earlier, exists := l.copied[attempt]; exists && (earlier.mixed || earlier.origin != origin) {
		return l.replace(ctx, earlier.holders, unsent)
	}
	if !l.options.Versions(origin.Service).NeedsCopies() {
		l.keepUncopied(unsent)
		return nil
	}
	l.sendCopies(unsent, nil)
	return nil
}

// replace sends the origin to all instances that may hold an earlier one of the attempt, and once they
// have it to the others that hold it from now on. The caller holds mu, which is released meanwhile.
func (l *Link) replace(ctx context.Context, earlier []member.Peer, origin unsentOrigin) error {
	attempt := origin.message.GetAttempt()
	l.copied[attempt] = copied{origin: originOf(origin.message), holders: earlier, expires: origin.expires, mixed: true}
	l.mu.Unlock()
	err := l.confirm(ctx, earlier, origin)
	l.mu.Lock()
	if err != nil {
		l.failures.Add(1)
		return err
	}
	l.copies.Add(uint64(len(earlier)))
	l.sendCopies(origin, earlier)
	return nil
}

// sendCopies sends the origin to its holders but those that have confirmed it. The caller holds mu.
func (l *Link) sendCopies(origin unsentOrigin, confirmed []member.Peer) {
	attempt := origin.message.GetAttempt()
	holders := l.holders(attempt, l.copied[attempt].holders)
	for _, holder := range holders {
		if !contains(confirmed, holder) {
			l.enqueue(holder, origin)
		}
	}
	l.copied[attempt] = copied{origin: originOf(origin.message), holders: holders, expires: origin.expires}
}

// holders returns who gets copies of the origin, and who got earlier ones. The caller holds mu.
func (l *Link) holders(attempt string, earlier []member.Peer) []member.Peer {
	holders := append(streamorigin.Holders(l.options.Self, l.peers, attempt), l.keeper(attempt)...)
	for _, holder := range earlier {
		if !contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	return holders
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

// SendCopies sends copies of origins that other instances could infer when they were recorded and
// may not be able to infer any more.
func (l *Link) SendCopies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, origins := range l.uncopied {
		if !l.options.Versions(service).NeedsCopies() {
			continue
		}
		delete(l.uncopied, service)
		for _, origin := range origins {
			l.sendCopies(origin, nil)
		}
	}
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
}
