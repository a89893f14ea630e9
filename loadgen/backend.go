package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Backend is a stand-in backend server that is asked for its counts.
type Backend struct {
	Name    string
	Address string
	Service bool
}

// Counts is what the backend servers say that they ran.
type Counts struct {
	// Runs by request, over all servers.
	Runs map[string]int
	// TokensMade, TokensCanceled and TokensSaved sum over all engines.
	TokensMade     int
	TokensCanceled int
	TokensSaved    int
	WordsCached    int
	WordsRead      int
	// Silent names the servers that did not answer: their counts are lacking.
	Silent []string
}

type backendStats struct {
	Runs           map[string]int `json:"runs"`
	Refs           map[string]int `json:"refs"`
	TokensMade     int            `json:"tokens_made"`
	TokensCanceled int            `json:"tokens_canceled"`
	TokensSaved    int            `json:"tokens_saved"`
	WordsCached    int            `json:"words_cached"`
	WordsRead      int            `json:"words_read"`
}

// statsTimeout bounds the question to one server.
const statsTimeout = 2 * time.Second

// Ask asks all backend servers for their counts.
func Ask(ctx context.Context, backends []Backend) Counts {
	counts := Counts{Runs: make(map[string]int)}
	answers := make([]*backendStats, len(backends))
	var calls sync.WaitGroup
	for i, backend := range backends {
		calls.Go(func() { answers[i] = ask(ctx, backend.Address) })
	}
	calls.Wait()
	for i, stats := range answers {
		if stats == nil {
			counts.Silent = append(counts.Silent, backends[i].Name)
			continue
		}
		counts.add(stats, backends[i].Service)
	}
	return counts
}

func (c *Counts) add(stats *backendStats, service bool) {
	runs := stats.Runs
	if service {
		runs = stats.Refs
	}
	for ref, n := range runs {
		c.Runs[ref] += n
	}
	c.TokensMade += stats.TokensMade
	c.TokensCanceled += stats.TokensCanceled
	c.TokensSaved += stats.TokensSaved
	c.WordsCached += stats.WordsCached
	c.WordsRead += stats.WordsRead
}

func ask(ctx context.Context, address string) *backendStats {
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

// Since returns what was counted after an earlier answer. Servers that started
// anew in between count from zero.
func (c Counts) Since(before Counts) Counts {
	after := c
	after.Runs = make(map[string]int, len(c.Runs))
	for ref, runs := range c.Runs {
		if runs -= before.Runs[ref]; runs > 0 {
			after.Runs[ref] = runs
		}
	}
	less := func(now, then int) int {
		if now < then {
			return now
		}
		return now - then
	}
	after.TokensMade = less(c.TokensMade, before.TokensMade)
	after.TokensCanceled = less(c.TokensCanceled, before.TokensCanceled)
	after.TokensSaved = less(c.TokensSaved, before.TokensSaved)
	after.WordsCached = less(c.WordsCached, before.WordsCached)
	after.WordsRead = less(c.WordsRead, before.WordsRead)
	return after
}
