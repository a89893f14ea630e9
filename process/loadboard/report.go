package loadboard

import (
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Reading is a shared part of a prompt that was sent to a server, which holds it
// from then on.
type CachedPrefix struct {
	// Server is the server's key.
	Server uint32
	// Hash is that of the part and all before it.
	Hash uint64
	// Tokens is the part's length.
	Tokens uint32
}

// Word is what instances tell each other.
type Report struct {
	Loads          Loads
	Work           Work
	CachedPrefixes []CachedPrefix
	// Limits are those that servers named or denied lately.
	Limits Limits
	// Instances is how many the word speaks for.
	Instances int
	// Servers is how many backend servers its sender knows; it isn't told.
	Servers int
}

func newReport(servers int) Report {
	return Report{Loads: make(Loads, servers), Work: make(Work), Limits: make(Limits)}
}

// add puts other's sums on top of w's; readings are told apart.
func (w *Report) add(other Report) {
	w.Loads.add(other.Loads)
	w.Work.add(other.Work)
	w.Limits.add(other.Limits)
	w.Instances += other.Instances
}

// Encode makes the message of the word as of now.
func (w Report) Encode(now time.Time, dataCenter string) *lilacv1.LoadWord {
	told := &lilacv1.LoadWord{DataCenter: dataCenter, Instances: uint32(w.Instances), Limits: w.Limits.Encode(now)}
	w.Loads.encode(told)
	for _, key := range slices.Sorted(maps.Keys(w.Work)) {
		work := w.Work[key]
		told.Work = append(told.Work, work.Encode(key))
	}
	for _, r := range w.CachedPrefixes {
		told.Readings = append(told.Readings, &lilacv1.EngineReading{Server: r.Server, Hash: r.Hash, Tokens: r.Tokens})
	}
	return told
}

// DecodeWord reads the message of a word that came now.
func DecodeReport(now time.Time, told *lilacv1.LoadWord) Report {
	w := Report{Loads: decodeLoads(told), Work: make(Work), Limits: DecodeLimits(now, told.GetLimits()), Instances: int(told.GetInstances())}
	for _, work := range told.GetWork() {
		w.Work[work.GetPool()] = DecodeWork(work)
	}
	for _, r := range told.GetReadings() {
		w.CachedPrefixes = append(w.CachedPrefixes, CachedPrefix{Server: r.GetServer(), Hash: r.GetHash(), Tokens: r.GetTokens()})
	}
	return w
}

const (
	// newsTold is how long a reading goes along with each word: two, so that one
	// lost word hides nothing.
	prefixReportPeriod = 2*Interval + Interval/2
	// newsKept is how long it is remembered, so that it isn't news again on another
	// way: longer than its sender tells it.
	prefixRetention = 4 * time.Second
)

// origin is who a reading came from, and of which data centre.
type origin struct{ instance, dataCenter string }

// place is a part on a server.
type prefixLocation struct {
	server uint32
	hash   uint64
}

// item is a reading as it was heard first.
type prefixRecord struct {
	tokens uint32
	at     time.Time
	from   origin
}

// news are the readings of the last seconds.
type prefixLog map[prefixLocation]prefixRecord

func (n prefixLog) add(now time.Time, readings []CachedPrefix, from origin) {
	for _, r := range readings {
		at := prefixLocation{r.Server, r.Hash}
		if _, known := n[at]; !known {
			n[at] = prefixRecord{r.Tokens, now, from}
		}
	}
}

func (n prefixLog) expire(now time.Time) {
	for at, i := range n {
		if now.Sub(i.at) > prefixRetention {
			delete(n, at)
		}
	}
}

// pick lists what is to be told of the readings that fit.
func (n prefixLog) selectRecent(now time.Time, match func(origin) bool) []CachedPrefix {
	var list []CachedPrefix
	for at, i := range n {
		if now.Sub(i.at) <= prefixReportPeriod && match(i.from) {
			list = append(list, CachedPrefix{at.server, at.hash, i.tokens})
		}
	}
	return list
}

func (n prefixLog) reportedBy(now time.Time, from origin) []CachedPrefix {
	return n.selectRecent(now, func(o origin) bool { return o == from })
}

func (n prefixLog) reportedIn(now time.Time, dataCenter string) []CachedPrefix {
	return n.selectRecent(now, func(o origin) bool { return o.dataCenter == dataCenter })
}

func (n prefixLog) reportedByOthers(now time.Time, instance string) []CachedPrefix {
	return n.selectRecent(now, func(o origin) bool { return o.instance != instance })
}
