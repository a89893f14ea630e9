// Command lilacbridge-entry runs an entry instance, which forwards callers' requests to
// backend servers.
package main

import (
	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/daemon/entry"
	"github.com/lilacbridge/lilacbridge/daemon/program"
	"github.com/lilacbridge/lilacbridge/platform"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

func main() {
	open := func(s *settings.Entry, logger hclog.Logger) (program.Daemon, error) {
		return entry.NewDaemon(s, logger, &platform.Platform{})
	}
	program.Main("lilacbridge-entry", "Run an entry instance of a lilacbridge fleet", &settings.Entry{}, open)
}
