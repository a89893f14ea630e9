// Command lilacbridge-state runs a state process: one member of the replicated
// log that holds the configuration, the request ledger and the leases.
package main

import (
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/daemon/state"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

func main() {
	var file string
	root := &cobra.Command{
		Use:           "lilacbridge-state",
		Short:         "Run a state process of a lilacbridge fleet",
		Version:       build.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Flags().StringVar(&file, "settings", "", "YAML file with the settings of this process")
	code := settings.ExitCode
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		s := &settings.State{}
		if err := settings.Load(file, s); err != nil {
			return err
		}
		logger := hclog.New(&hclog.LoggerOptions{Name: s.Name, Level: hclog.LevelFromString(s.LogLevel)})
		daemon, err := state.NewDaemon(s, logger, state.OpenReplica)
		if err != nil {
			code = 1
			return err
		}
		code = 1
		return daemon.Run(cmd.Context())
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
