package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/choose"
)

// Servers of several software versions may serve side by side in a pool. What two versions write
// does not fit together in one stream, and servers do not check this. An answer is therefore bound
// to the version of the server that sent its first tokens, or to the one that the caller's earlier
// attempt had. Only servers of that version may go on with it.

const (
	// versionDoubtPeriod is how long a server that crashed is not trusted to have the listed
	// version: it may restart with another one before the platform's list shows it.
	versionDoubtPeriod = 6 * time.Second
	// noVersionRetryAfter is the minimum Retry-After if no server of the version is left; a
	// crashed one may be back by then.
	noVersionRetryAfter = 2 * time.Second

	unadmittedMessage = "the software versions of the pool's servers are not admitted yet; send the request again after Retry-After, or check server_list in the settings of the state processes"
	noVersionMessage  = "no backend server of the software version that began the answer is left; resume after Retry-After, or start again without Last-Event-Id"
)

// bindVersion binds the rest of the answer to servers of the version.
func (r *request) bindVersion(version string) { r.versionBound, r.version = true, version }

// hasVersion reports whether the server is listed with the version that the answer is bound to.
// An unknown version equals no other, unless the pool's servers state none at all.
func (s *server) hasVersion(r *request) bool {
	return !r.versionBound || s.version == r.version && (r.version != "" || !r.pool.versioned)
}

// versionInDoubt reports whether the server may run another version than the listed one, since it
// crashed lately, or since another instance said so and it has not answered this one since.
func (s *server) versionInDoubt(now time.Time) bool {
	crashed := !s.crashedAt.IsZero() && now.Sub(s.crashedAt) < versionDoubtPeriod
	return crashed || s.crashReports.reporter != "" && now.Sub(s.crashReports.at) < versionDoubtPeriod
}

// maySend reports whether the server may begin the answer or go on with it. It begins none that the
// caller may resume at another instance until its software version is admitted, nor while it may run
// another one of the pool.
func (s *server) maySend(now time.Time, r *request) bool {
	switch {
	case r.versionBound:
		return s.hasVersion(r) && (!r.pool.versioned || !s.versionInDoubt(now))
	case r.Resumable:
		return !s.unadmitted && (!r.pool.mixed || !s.versionInDoubt(now))
	}
	return true
}

// limitedByVersion reports whether the software versions leave it fewer servers than other requests.
func (r *request) limitedByVersion() bool {
	if r.versionBound {
		return r.pool.versioned
	}
	return r.Resumable && r.pool.unadmitted
}

// lacksAdmitted reports whether all servers that accept requests have versions that are not admitted.
func (r *request) lacksAdmitted(now time.Time) bool {
	return r.Resumable && !r.versionBound && r.pool.hasOpenServer(now) && !r.hasOpenServer(now)
}

// versionServers returns how many servers of the pool are not leaving and may go on with the answer,
// now or after a pause.
func (r *request) versionServers(now time.Time) int {
	count := 0
	for _, s := range r.pool.servers {
		if !s.closed() && s.maySend(now, r) {
			count++
		}
	}
	return count
}

// lacksVersion reports whether the answer is bound to a version that no server has. Waiting for one
// that crashed is of no use: it comes back as another server.
func (r *request) lacksVersion(now time.Time) bool {
	return r.versionBound && r.versionServers(now) == 0
}

// endWithoutVersion ends the waiting requests whose version has no server left.
func (c *core) endWithoutVersion(now time.Time) {
	for _, r := range c.findRequests(func(r *request) bool { return r.server == nil && r.lacksVersion(now) }) {
		c.dequeue(r)
		c.endLackingVersion(now, r)
	}
}

func (c *core) endLackingVersion(now time.Time, r *request) {
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, noVersionMessage, c.jitter(noVersionRetryAfter))
}

// collectVersion lists the candidates for an answer that versions leave fewer servers; it samples many.
func (c *core) collectVersion(now time.Time, r *request, h *homes) {
	var indexes []int
	for i, s := range r.pool.servers {
		if s.maySend(now, r) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) > choose.SampleSize {
		c.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
		indexes = indexes[:choose.SampleSize]
	}
	for _, index := range indexes {
		c.choice.candidates = append(c.choice.candidates, r.pool.servers[index].candidate(r, now, index, h))
	}
}
