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

// Backend is a stand-in backend server that is asked for its counts.
type Backend struct {
	Name    string
	Address string
}

// Counts is what the backend servers say that they ran.
type Counts struct {
	// Runs by request, over all servers.
	Runs map[string]int
	// TokensMade and TokensSaved sum over all engines.
	TokensGenerated int
	TokensAvoided   int
	// Silent names the servers that did not answer: their counts are lacking.
	Unreachable []string
}

type backendStats struct {
	Runs            map[string]int `json:"runs"`
	Refs            map[string]int `json:"refs"`
	TokensGenerated int            `json:"tokens_made"`
	TokensAvoided   int            `json:"tokens_saved"`
}

// runs returns the runs by request; services count keys apart from them.
func (s *backendStats) runs() map[string]int {
	if s.Refs != nil {
		return s.Refs
	}
	return s.Runs
}

// Snapshot is the counts of each server at one time; nil where it was silent.
type Snapshot map[string]*backendStats

// statsTimeout bounds the question to one server.
const statsTimeout = 2 * time.Second

// Ask asks all backend servers for their counts.
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

// Since returns what was counted after an earlier snapshot. A server that
// counts less than before was started anew: all that it counts is new.
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

// total only grows in the life of a server.
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
