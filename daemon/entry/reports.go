package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/request/relay"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// maxPolledServers bounds how many servers one instance polls for load, so that the
// cost of polling does not grow with the number of servers.
const maxPolledServers = 100

// reports forwards engine reports to the policy core.
type reports struct{ relay *relay.Relay }

var _ engine.ReportHandler = reports{}

// OnLoad implements engine.ReportHandler. The core receives the report's age instead of its
// wall-clock time.
func (r reports) OnLoad(server string, load *engine.Load) {
	age := max(0, time.Since(time.UnixMilli(load.MeasuredUnixMs)))
	r.relay.Post(policy.LoadReport{Server: server, Running: load.Running, Waiting: load.Waiting, KVUsed: load.KVUsed, Age: age})
}

// OnCacheEvents implements engine.ReportHandler.
func (r reports) OnCacheEvents(server string, events []engine.CacheEvent) {
	for _, event := range events {
		r.relay.Post(policy.CacheEvent{
			Server: server, Sequence: event.Sequence, Cleared: event.Cleared,
			Stored: engine.Blocks(event.Stored), Dropped: engine.Blocks(event.Dropped),
		})
	}
}

// pollSet returns the servers that this instance polls: all of them in a small fleet,
// otherwise the maxPolledServers with the lowest hash of instance and server name.
func pollSet(view *model.View, instance string) []*lilacv1.Server {
	servers := make([]*lilacv1.Server, 0, len(view.Servers))
	for _, server := range view.Servers {
		servers = append(servers, server)
	}
	rank := func(s *lilacv1.Server) uint64 { return xxhash.Sum64String(instance + "\x00" + s.GetName()) }
	slices.SortFunc(servers, func(a, b *lilacv1.Server) int { return cmp.Compare(rank(a), rank(b)) })
	return servers[:min(len(servers), maxPolledServers)]
}
