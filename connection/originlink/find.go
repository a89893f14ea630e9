package originlink

import (
	"context"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// Source is where an origin was found.
type Source string

const (
	// Unknown: no instance that answered has the origin, and it can't be inferred.
	Unknown Source = "unknown"
	// Own: this instance has it.
	Own Source = "own"
	// Peer: another instance or a state process has it.
	Peer Source = "peer"
	// OnlyVersion: the record of software versions proves that all streams of the service
	// that may still be resumed began at one version.
	OnlyVersion Source = "only_version"
)

// Finding is the result of a search for an origin.
type Finding struct {
	Origin streamorigin.Origin
	Source Source
	// Versions is what this instance knew of the service's software versions.
	Versions admission.Record
	// Doubt is why the record proves no origin; it isn't set for Own.
	Doubt admission.Doubt
	// Holder is the process whose origin was used, for Peer.
	Holder string
	// Asked is how many other processes were asked, Answered how many did in time.
	Asked, Answered int
}

// Find returns where the stream of the caller's attempt began. An empty attempt stands for a
// caller that names none. service is the one whose only version may be inferred; empty if the
// route has several.
func (l *Link) Find(ctx context.Context, attempt, service string) Finding {
	attempt = keyOf(attempt)
	finding := Finding{Source: Unknown, Versions: l.options.Versions(service)}
	if origin := l.local(attempt).GetOrigin(); origin != nil {
		finding.Origin, finding.Source = originOf(origin), Own
		return finding
	}
	if version, proved := finding.Versions.Origin(); proved {
		finding.Origin, finding.Source = streamorigin.Origin{Service: service, Version: version}, OnlyVersion
		return finding
	}
	finding.Doubt = finding.Versions.Doubt()
	if service == "" {
		finding.Doubt = admission.SeveralServices
	}
	if attempt == "" {
		return finding
	}
	search := &search{replies: make(chan reply)}
	l.ask(ctx, attempt, search)
	finding.Asked, finding.Answered = search.asked, search.answered
	if search.best != nil {
		finding.Origin, finding.Source = originOf(search.best), Peer
		finding.Holder = search.holder
	}
	return finding
}

// search collects the answers of other instances.
type search struct {
	replies         chan reply
	asked, answered int
	best            *lilacv1.StreamOrigin
	// holder is the one that best came from.
	holder string
}

// reply is the answer of one instance; message is nil if the call failed.
type reply struct {
	from    string
	message *lilacv1.FindOriginReply
}

// ask asks the instances that may hold the origin, and returns once all have answered, shortly after
// one had the origin, or after findTimeout.
func (l *Link) ask(ctx context.Context, attempt string, s *search) {
	l.mu.Lock()
	asked := append(streamorigin.Asked(l.options.Self, l.peers, attempt), streamorigin.AskedKeepers(l.keepers, attempt)...)
	l.mu.Unlock()
	s.asked = len(asked)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for _, peer := range asked {
		go func() {
			message := &lilacv1.FindOriginReply{}
			if l.options.Dial(peer.Address).Call(ctx, findMethod, &lilacv1.FindOriginRequest{Attempt: attempt}, message) != nil {
				message = nil
			}
			select {
			case s.replies <- reply{peer.Name, message}:
			case <-ctx.Done():
			}
		}()
	}
	var enough <-chan time.Time
	for range asked {
		select {
		case reply := <-s.replies:
			s.add(reply)
		case <-enough:
			return
		case <-ctx.Done():
			return
		}
		if s.best != nil && enough == nil {
			enough = time.After(otherAnswersWait)
		}
	}
}

func (s *search) add(r reply) {
	if r.message == nil {
		return
	}
	s.answered++
	if origin := r.message.GetOrigin(); origin != nil && (s.best == nil || origin.GetNumber() > s.best.GetNumber()) {
		s.best, s.holder = origin, r.from
	}
}

// MayBegin reports whether streams of the service may begin that callers may resume at other
// instances.
func (l *Link) MayBegin(service string) bool { return l.options.Versions(service).MayBegin() }
