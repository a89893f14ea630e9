package originlink

import (
	"context"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
)

// Source is where an origin was found.
type Source string

const (
	// Unknown: no instance that answered has the origin, and it can't be inferred.
	Unknown Source = "unknown"
	// Own: this instance has it.
	Own Source = "own"
	// Peer: another instance has it.
	Peer Source = "peer"
	// OnlyVersion: no instance that answered has it, nor has any of them seen a second
	// version of the service for as long as a stream may be resumed.
	OnlyVersion Source = "only_version"
)

// Finding is the result of a search for an origin.
type Finding struct {
	Origin streamorigin.Origin
	Source Source
	// Asked is how many other instances were asked, Answered how many did in time.
	Asked, Answered int
}

// Find returns where the stream of the caller's attempt began. An empty attempt stands for a
// caller that names none. service is the one to infer the only version of; empty if the route
// has several.
func (l *Link) Find(ctx context.Context, attempt, service string) Finding {
	own := l.local(attempt, service)
	if own.GetOrigin() != nil {
		return Finding{Origin: originOf(own.GetOrigin()), Source: Own}
	}
	if attempt == "" || l.onlyVersion(service) {
		// Others can't know more.
		return infer(service, own.GetVersions())
	}
	search := &search{replies: make(chan *lilacv1.FindOriginReply), versions: own.GetVersions()}
	l.ask(ctx, attempt, service, search)
	finding := infer(service, search.versions)
	if search.best != nil {
		finding = Finding{Origin: originOf(search.best), Source: Peer}
	}
	finding.Asked, finding.Answered = search.asked, search.answered
	return finding
}

// infer returns the only version of the service that was seen, if there is only one.
func infer(service string, versions []string) Finding {
	if service == "" || len(versions) != 1 {
		return Finding{Source: Unknown}
	}
	return Finding{Origin: streamorigin.Origin{Service: service, Version: versions[0]}, Source: OnlyVersion}
}

func (l *Link) onlyVersion(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.OnlyVersion(l.options.Now(), service)
}

// search collects the answers of other instances. Nil replies stand for calls that failed.
type search struct {
	replies         chan *lilacv1.FindOriginReply
	asked, answered int
	best            *lilacv1.StreamOrigin
	// versions are all that were seen by any instance that answered.
	versions []string
}

// ask asks the instances that may hold the origin, and returns once all have answered, shortly after
// one had the origin, or after findTimeout.
func (l *Link) ask(ctx context.Context, attempt, service string, s *search) {
	l.mu.Lock()
	asked := streamorigin.Asked(l.options.Self, l.peers, attempt)
	l.mu.Unlock()
	s.asked = len(asked)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for _, peer := range asked {
		go func() {
			reply := &lilacv1.FindOriginReply{}
			if l.options.Dial(peer.Address).Call(ctx, findMethod, &lilacv1.FindOriginRequest{Attempt: attempt, Service: service}, reply) != nil {
				reply = nil
			}
			select {
			case s.replies <- reply:
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

func (s *search) add(reply *lilacv1.FindOriginReply) {
	if reply == nil {
		return
	}
	s.answered++
	if origin := reply.GetOrigin(); origin != nil && (s.best == nil || origin.GetNumber() > s.best.GetNumber()) {
		s.best = origin
	}
	for _, version := range reply.GetVersions() {
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
}
