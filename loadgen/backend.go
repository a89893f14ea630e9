package loadgen

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Backend is a stand-in backend server whose counters are read.
type Backend struct {
	Name    string
	Address string
}

// Counts holds what the backend servers report to have run.
type Counts struct {
	// Runs is the number of runs of each request over all servers, by Request.Ref.
	Runs map[string]int
	// TokensGenerated and TokensAvoided are sums over all engines.
	TokensGenerated int
	TokensAvoided   int
	// Unreachable names the servers that did not answer. Their counts are missing.
	Unreachable []string
}

type backendStats struct {
	Runs            map[string]int `json:"runs"`
	Refs            map[string]int `json:"refs"`
	TokensGenerated int            `json:"tokens_made"`
	TokensAvoided   int            `json:"tokens_saved"`
}

// runs returns the number of runs by request. Services count those by key separately.
func (s *backendStats) runs() map[string]int {
	if s.Refs != nil {
		return s.Refs
	}
	return s.Runs
}

// Snapshot holds the counters of each server at one time; nil if it did not answer.
type Snapshot map[string]*backendStats

// statsTimeout bounds the request to one server.
const statsTimeout = 2 * time.Second

// FetchStats reads the counters of all backend servers concurrently.
func FetchStats(ctx context.Context, backends []Backend) Snapshot {
	answers := make([]*backendStats, len(backends))
	var calls sync.WaitGroup
	for i, backend := range backends {
		calls.Go(func() { answers[i] = fetchStats(ctx, backend.Address) })
	}
	calls.Wait()
	snapshot := make(Snapshot, len(backends))
	for i, backend := range backends {
		snapshot[backend.Name] = answers[i]
	}
	return snapshot
}

// Since returns the difference to an earlier snapshot. A server whose total has decreased
// was restarted, so that all of its counts are new.
func (s Snapshot) Since(before Snapshot) Counts {
	counts := Counts{Runs: make(map[string]int)}
	for _, name := range slices.Sorted(maps.Keys(s)) {
		later, earlier := s[name], before[name]
		if later == nil {
			counts.Unreachable = append(counts.Unreachable, name)
			continue
		}
		if earlier == nil || later.total() < earlier.total() {
			earlier = &backendStats{}
		}
		for ref, n := range later.runs() {
			if n -= earlier.runs()[ref]; n > 0 {
				counts.Runs[ref] += n
			}
		}
		counts.TokensGenerated += later.TokensGenerated - earlier.TokensGenerated
		counts.TokensAvoided += later.TokensAvoided - earlier.TokensAvoided
	}
	return counts
}

// total never decreases until the server restarts.
func (s *backendStats) total() int {
	sum := s.TokensGenerated
	for _, n := range s.runs() {
		sum += n
	}
	return sum
}

func fetchStats(ctx context.Context, address string) *backendStats {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	stats := &backendStats{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(stats) != nil {
		return nil
	}
	return stats
}
