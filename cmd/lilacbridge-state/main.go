// Command lilacbridge-state runs a state process, a member of the replicated state machine
// that holds the configuration, the request ledger and the leases.
package main

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/daemon/program"
	"github.com/lilacbridge/lilacbridge/daemon/state"
	"github.com/lilacbridge/lilacbridge/platform"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

func main() {
	control := state.Control{
		Decode: platform.Protocol{}.ParseDocument,
		List:   (&platform.Platform{}).ServerList,
		Duties: (&platform.Platform{}).DutyCalls,
		Handler: func(documents gateway.DocumentStore, bodies gateway.DocumentBodies) http.Handler {
			return &platform.Control{Documents: documents, Bodies: bodies}
		},
	}
	open := func(s *settings.State, logger hclog.Logger) (program.Daemon, error) {
		return state.NewDaemon(s, logger, state.OpenReplica, control)
	}
	program.Main("lilacbridge-state", "Run a state process of a lilacbridge fleet", &settings.State{}, open)
}
