package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/config"
)

const (
	// admissionWait is the time from the announcement of a version to its admission. By then each
	// instance has heard of it or may infer no origins.
	admissionWait = InferenceLease + 500*time.Millisecond
	// absenceWait is how long a listed version may be missing from the list before it counts as
	// leaving. It outlasts a list that is incomplete for a moment.
	absenceWait = 5 * time.Second
	// removalWait is the time from the moment at which a version counts as leaving to its removal:
	// an instance that hasn't heard of it begins streams for beginLease, and these may be resumed
	// for MaxStream after they arrived.
	removalWait = beginLease + MaxStream + removalMargin
	// maxChanges bounds the changes of one proposal.
	maxChanges = 64
	// removalMargin covers streams that are resumed a moment after their time limit.
	removalMargin = 5 * time.Second
)

// Version is a software version of the servers of a service.
type Version struct{ Service, Version string }

// Input is what the leader of the state processes knows.
type Input struct {
	// Term is the term in which this process leads; 0 if it doesn't.
	Term uint64
	// Record is the committed record.
	Record []*lilacv1.ServiceVersion
	// Listed are the versions of the listed servers, if Current is true.
	Listed  []Version
	Current bool
}

// Core decides on the changes of the record. Times are by a monotonic clock. It is not safe for
// concurrent use.
type Core struct {
	term uint64
	// states are the committed states, and when this leader first saw them.
	states map[Version]observed
	// missingSince is when the list first lacked a version of the record.
	missingSince map[Version]time.Duration
}

type observed struct {
	state lilacv1.VersionState
	since time.Duration
}

// NewCore returns a Core that has seen nothing.
func NewCore() *Core { return &Core{} }

// Step returns the changes to propose, all of them for the given record. A leader counts all waits
// from when it saw the committed state, so that a change is never too early.
func (c *Core) Step(now time.Duration, in Input) []*lilacv1.Change {
	if in.Term != c.term || c.states == nil {
		c.term = in.Term
		c.states, c.missingSince = make(map[Version]observed), make(map[Version]time.Duration)
	}
	if in.Term == 0 {
		return nil
	}
	c.observe(now, in.Record)
	if !in.Current {
		clear(c.missingSince)
		return nil
	}
	servers := make(map[Version]int)
	for _, version := range in.Listed {
		servers[version]++
	}
	counted := make(map[string]bool)
	lost := false
	var changes []*lilacv1.Change
	for _, known := range in.Record {
		counted[known.GetService()] = true
		lost = lost || known.GetLost()
		if known.GetLost() || servers[versionOf(known)] == 0 {
			changes = append(changes, c.unlisted(now, known)...)
		}
	}
	room := config.MaxVersions - len(in.Record)
	for _, version := range byServers(servers) {
		delete(c.missingSince, version)
		if _, known := c.states[version]; !known {
			if room--; room < 0 {
				continue
			}
		}
		changes = append(changes, c.listed(now, version, !counted[version.Service] && !lost)...)
		counted[version.Service] = true
	}
	return changes[:min(len(changes), maxChanges)]
}

// byServers returns the versions in order of their number of servers, most first.
func byServers(servers map[Version]int) []Version {
	return slices.SortedFunc(maps.Keys(servers), func(a, b Version) int {
		return cmp.Or(cmp.Compare(servers[b], servers[a]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// listed returns the change, if any, for a version in the list. first is set if no other version of
// the service counts.
func (c *Core) listed(now time.Duration, version Version, first bool) []*lilacv1.Change {
	seen, known := c.states[version]
	switch {
	case !known && !first:
		return setVersion(version, lilacv1.VersionState_VERSION_STATE_ANNOUNCED)
	case !known:
		// No instance infers anything from a record without versions.
		return setVersion(version, lilacv1.VersionState_VERSION_STATE_ADMITTED)
	case seen.state == lilacv1.VersionState_VERSION_STATE_ANNOUNCED && now-seen.since >= admissionWait,
		seen.state == lilacv1.VersionState_VERSION_STATE_LEAVING: // it has counted for longer than admissionWait
		return setVersion(version, lilacv1.VersionState_VERSION_STATE_ADMITTED)
	}
	return nil
}

// unlisted returns the change, if any, for a version of the record that isn't in the list.
func (c *Core) unlisted(now time.Duration, known *lilacv1.ServiceVersion) []*lilacv1.Change {
	version := versionOf(known)
	if known.GetState() == lilacv1.VersionState_VERSION_STATE_LEAVING {
		if now-c.states[version].since < removalWait {
			return nil
		}
		return []*lilacv1.Change{{Op: &lilacv1.Change_DropVersion{DropVersion: known}}}
	}
	since, missing := c.missingSince[version]
	if !missing {
		c.missingSince[version] = now
		return nil
	}
	if now-since < absenceWait {
		return nil
	}
	return setVersion(version, lilacv1.VersionState_VERSION_STATE_LEAVING)
}

func versionOf(known *lilacv1.ServiceVersion) Version {
	return Version{Service: known.GetService(), Version: known.GetVersion()}
}

func setVersion(version Version, state lilacv1.VersionState) []*lilacv1.Change {
	return []*lilacv1.Change{{Op: &lilacv1.Change_SetVersion{SetVersion: &lilacv1.ServiceVersion{
		Service: version.Service, Version: version.Version, State: state,
	}}}}
}

// observe records when the states of the record were first seen.
func (c *Core) observe(now time.Duration, record []*lilacv1.ServiceVersion) {
	states := make(map[Version]observed, len(record))
	for _, known := range record {
		version := versionOf(known)
		seen, exists := c.states[version]
		if !exists || seen.state != known.GetState() {
			seen = observed{state: known.GetState(), since: now}
		}
		states[version] = seen
	}
	c.states = states
}
