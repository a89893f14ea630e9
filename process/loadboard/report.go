package loadboard

import (
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// CachedPrefix is a shared prompt prefix that was sent to a server, whose prefix
// cache holds it from then on.
type CachedPrefix struct {
	// Server is the server's key.
	Server uint32
	// Hash covers the whole prefix up to the end of its last block.
	Hash uint64
	// Tokens is the length of the last block of the prefix.
	Tokens uint32
}

// Report is the message that instances exchange.
type Report struct {
	Loads          Loads
	Work           Work
	CachedPrefixes []CachedPrefix
	// Limits are the limits that servers recently advertised or withdrew.
	Limits Limits
	// Instances is the number of instances that the report covers.
	Instances int
	// Servers is the number of backend servers that the sender knows; it is not
	// encoded.
	Servers int
}

func newReport(servers int) Report {
	return Report{Loads: make(Loads, servers), Work: make(Work), Limits: make(Limits)}
}

// add adds other's sums to r; cached prefixes are handled separately.
func (r *Report) add(other Report) {
	r.Loads.add(other.Loads)
	r.Work.add(other.Work)
	r.Limits.add(other.Limits)
	r.Instances += other.Instances
}

// Encode returns the report as a message; ages are relative to now.
func (r Report) Encode(now time.Time, dataCenter string) *lilacv1.LoadWord {
	message := &lilacv1.LoadWord{DataCenter: dataCenter, Instances: uint32(r.Instances), Limits: r.Limits.Encode(now)}
	r.Loads.encode(message)
	for _, key := range slices.Sorted(maps.Keys(r.Work)) {
		work := r.Work[key]
		message.Work = append(message.Work, work.Encode(key))
	}
	for _, prefix := range r.CachedPrefixes {
		message.Readings = append(message.Readings, &lilacv1.EngineReading{Server: prefix.Server, Hash: prefix.Hash, Tokens: prefix.Tokens})
	}
	return message
}

// DecodeReport decodes a report received now.
func DecodeReport(now time.Time, message *lilacv1.LoadWord) Report {
	report := Report{Loads: decodeLoads(message), Work: make(Work), Limits: DecodeLimits(now, message.GetLimits()), Instances: int(message.GetInstances())}
	for _, work := range message.GetWork() {
		report.Work[work.GetPool()] = DecodeWork(work)
	}
	for _, prefix := range message.GetReadings() {
		report.CachedPrefixes = append(report.CachedPrefixes, CachedPrefix{Server: prefix.GetServer(), Hash: prefix.GetHash(), Tokens: prefix.GetTokens()})
	}
	return report
}

const (
	// prefixReportPeriod is how long a prefix is included in reports: two
	// intervals, so that one lost report has no effect.
	prefixReportPeriod = 2*Interval + Interval/2
	// prefixRetention is how long a prefix is remembered, so that it is not taken
	// as new when it arrives by another path. It is longer than the sender reports
	// it.
	prefixRetention = 4 * time.Second
)

// origin identifies the instance that a prefix was received from.
type origin struct{ instance, dataCenter string }

// prefixLocation identifies a prefix on a server.
type prefixLocation struct {
	server uint32
	hash   uint64
}

// prefixRecord is the first receipt of a prefix.
type prefixRecord struct {
	tokens uint32
	at     time.Time
	from   origin
}

// prefixLog holds the cached prefixes received within prefixRetention.
type prefixLog map[prefixLocation]prefixRecord

func (l prefixLog) add(now time.Time, prefixes []CachedPrefix, from origin) {
	for _, r := range prefixes {
		location := prefixLocation{r.Server, r.Hash}
		if _, known := l[location]; !known {
			l[location] = prefixRecord{r.Tokens, now, from}
		}
	}
}

func (l prefixLog) expire(now time.Time) {
	for location, record := range l {
		if now.Sub(record.at) > prefixRetention {
			delete(l, location)
		}
	}
}

// selectRecent returns the prefixes to be reported whose origin matches.
func (l prefixLog) selectRecent(now time.Time, match func(origin) bool) []CachedPrefix {
	var list []CachedPrefix
	for location, record := range l {
		if now.Sub(record.at) <= prefixReportPeriod && match(record.from) {
			list = append(list, CachedPrefix{location.server, location.hash, record.tokens})
		}
	}
	return list
}

func (l prefixLog) reportedBy(now time.Time, from origin) []CachedPrefix {
	return l.selectRecent(now, func(o origin) bool { return o == from })
}

func (l prefixLog) reportedIn(now time.Time, dataCenter string) []CachedPrefix {
	return l.selectRecent(now, func(o origin) bool { return o.dataCenter == dataCenter })
}

func (l prefixLog) reportedByOthers(now time.Time, instance string) []CachedPrefix {
	return l.selectRecent(now, func(o origin) bool { return o.instance != instance })
}
