// Package admission decides at which software versions of a service streams may begin that
// callers may resume at any instance, and when an instance may infer at which one a stream began.
//
// The state processes keep a record of the versions, as part of the configuration. A version
// counts from its announcement until no stream of it can be resumed any more, and streams begin
// at it only some time after the announcement. An instance whose copy of the record is younger
// than that, and counts one version, therefore knows that all streams began at it.
//
// The package does no I/O.
package admission

import (
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// InferenceLease is the age up to which an instance infers origins from its record. It is
	// shorter than admissionWait.
	InferenceLease = 3 * time.Second
	// copyAfter is the age of the record above which origins are copied to other instances,
	// since it may soon be too old to infer them.
	copyAfter = 2 * time.Second
	// beginLease is the age up to which streams that callers may resume begin. removalWait
	// covers it.
	beginLease = 5 * time.Minute
	// MaxStream bounds for how long after its request arrived a stream may be resumed.
	MaxStream = 5 * time.Minute
)

// Record is what an instance knows of the versions of one service.
type Record struct {
	// Counted are the versions at which a stream may have begun, sorted; Revision is the
	// configuration's.
	Counted  []*lilacv1.ServiceVersion
	Revision uint64
	// Lost is set if there may be other versions, which a recovery of the state processes lost.
	Lost bool
	// Age is the time since the record was known to be the newest.
	Age time.Duration
}

// RecordOf returns the record of the service in a view that was known to be the newest age ago.
// The age must be read before the view, so that it isn't that of a newer view.
func RecordOf(view *model.View, service string, age time.Duration) Record {
	if view == nil {
		return Record{Age: age}
	}
	return Record{Counted: view.Versions[service], Revision: view.Revision, Lost: len(view.Versions[noService]) > 0, Age: age}
}

// noService is the service of versions that were lost by a recovery.
const noService = ""

// Origin returns the version at which any stream of the service began that may still be resumed,
// if the record proves that there is only one.
func (r Record) Origin() (version string, proved bool) {
	if !r.single() || r.Age >= InferenceLease {
		return "", false
	}
	return r.Counted[0].GetVersion(), true
}

// single reports whether the record counts one version. One that is leaving doesn't suffice: once it is
// removed, another version may be admitted without being announced.
func (r Record) single() bool {
	return len(r.Counted) == 1 && !r.Lost && r.Counted[0].GetState() != lilacv1.VersionState_VERSION_STATE_LEAVING
}

// NeedsCopies reports whether other instances may be unable to infer the origin of a stream.
func (r Record) NeedsCopies() bool { return !r.single() || r.Age >= copyAfter }

// MayBegin reports whether the record is young enough to begin streams that callers may resume.
func (r Record) MayBegin() bool { return r.Age < beginLease }

// Admits reports whether streams that callers may resume begin at the version of the service.
func Admits(view *model.View, service, version string) bool {
	for _, known := range view.Versions[service] {
		if known.GetVersion() == version {
			return known.GetState() == lilacv1.VersionState_VERSION_STATE_ADMITTED
		}
	}
	return false
}

// Doubt is why a record doesn't prove where a stream began.
type Doubt string

const (
	// NoDoubt: the record proves it.
	NoDoubt Doubt = ""
	// NoVersions: the record counts no version of the service.
	NoVersions Doubt = "no_versions"
	// SeveralVersions: it counts more than one.
	SeveralVersions Doubt = "several_versions"
	// LostVersions: a recovery of the state processes may have lost some.
	LostVersions Doubt = "lost_versions"
	// TooOld: it was last known to be the newest too long ago.
	TooOld Doubt = "too_old"
	// SeveralServices: the stream may have begun at any of several services, so no record was used.
	SeveralServices Doubt = "several_services"
)

// Doubt returns why Origin proves nothing. What the record counts is stated before its age.
func (r Record) Doubt() Doubt {
	switch {
	case r.Lost:
		return LostVersions
	case len(r.Counted) == 0:
		return NoVersions
	case len(r.Counted) > 1:
		return SeveralVersions
	case r.Age >= InferenceLease:
		return TooOld
	}
	return NoDoubt
}

// StateName returns the name of the version's state for operators: announced, admitted, leaving, or
// lost for those that a recovery of the state processes may have lost.
func StateName(v *lilacv1.ServiceVersion) string {
	if v.GetLost() {
		return "lost"
	}
	return strings.ToLower(strings.TrimPrefix(v.GetState().String(), "VERSION_STATE_"))
}

// CountStates returns the number of versions by the names of their states.
func CountStates(record []*lilacv1.ServiceVersion) map[string]int {
	counts := map[string]int{"announced": 0, "admitted": 0, "leaving": 0, "lost": 0}
	for _, version := range record {
		counts[StateName(version)]++
	}
	return counts
}
