package policy

import "time"

// An instance that loses its network path to a server observes the same as if the server had
// crashed: its connections are refused, reset or time out. Its report must not take a healthy
// server out of use at other instances. So an instance reports a crash only once another server
// has answered it after the crash, and the receiver of a report trusts its own answers from the
// server more than the report.

const (
	// crashReportWindow is how long digests report a crash.
	crashReportWindow = time.Second
	// refutedReportTTL is how long crash reports of an instance on a server are ignored
	// after an answer of that server proved one of them wrong.
	refutedReportTTL = 10 * time.Second
)

// crashReports holds what peers reported of the crashes of a server.
type crashReports struct {
	// reporter is the instance whose report, received at the time at, made this one probe the
	// server; empty for none.
	reporter string
	at       time.Time
	// refutedAt holds by reporter when an answer proved its report wrong.
	refutedAt map[string]time.Time
}

// reportsCrash reports whether digests report a crash of the server.
func (c *core) reportsCrash(now time.Time, s *server) bool {
	return now.Before(s.ejectedUntil) && now.Sub(s.crashedAt) < crashReportWindow && c.answeredByOther(s, s.crashedAt)
}

// answeredByOther reports whether another server has answered this instance since the given
// time.
func (c *core) answeredByOther(s *server, since time.Time) bool {
	for _, other := range c.ordered {
		if other != s && other.lastResponseAt.After(since) {
			return true
		}
	}
	return false
}

// applyCrashReport makes this instance probe a server whose crash a peer reported: the
// peer's connections may break before those of this instance.
func (c *core) applyCrashReport(now time.Time, name, reporter string) {
	s := c.servers[name]
	if s == nil || now.Sub(s.crashReports.refutedAt[reporter]) < refutedReportTTL {
		return
	}
	c.recordCrash(now, s)
	c.recordGone(now, s)
	if s.probing {
		return
	}
	s.probing, s.crashReports.reporter, s.crashReports.at = true, reporter, now
	c.emit(AvailabilityChanged{Server: s.name, State: Probed, Reason: CrashReported, Reporter: reporter, LastResponseAge: s.lastResponseAge(now)})
}

// recordAnswer records that the server answered this instance. It ends the probing that
// follows a failure or a peer's report, which the answer proves wrong.
func (c *core) recordAnswer(now time.Time, s *server) {
	s.lastResponseAt = now
	if reporter := s.crashReports.reporter; reporter != "" {
		if s.crashReports.refutedAt == nil {
			s.crashReports.refutedAt = make(map[string]time.Time)
		}
		s.crashReports.refutedAt[reporter], s.crashReports.reporter = now, ""
	}
	if s.ejectedFor == NoResponse && now.Before(s.ejectedUntil) {
		// It was only silent. A server that refuses connections may still answer on old ones.
		s.ejectedUntil = now
	}
	if s.probing {
		c.emit(AvailabilityChanged{Server: s.name, State: Available, Reason: Answered})
	}
	s.endProbing()
	c.announceCrashes(now, s)
}

// announceCrashes sends the digest once an answer of the given server confirms that another
// one has crashed.
func (c *core) announceCrashes(now time.Time, answered *server) {
	if c.unannouncedCrash == nil || c.unannouncedCrash == answered {
		return
	}
	if now.Sub(c.unannouncedCrash.crashedAt) < crashReportWindow {
		c.announce()
	}
	c.unannouncedCrash = nil
}
