// Command lilacbridge-entry runs an entry instance: callers' requests in,
// backend servers' answers out.
package main

import (
	"fmt"
	"os"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/daemon/entry"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

func main() {
	var file string
	root := &cobra.Command{
		Use:           "lilacbridge-entry",
		Short:         "Run an entry instance of a lilacbridge fleet",
		Version:       build.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Flags().StringVar(&file, "settings", "", "YAML file with the settings of this process")
	code := settings.ExitCode
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		s := &settings.Entry{}
		if err := settings.Load(file, s); err != nil {
			return err
		}
		klog.SetLogger(klog.NewFilter(klog.GetLogger(), klog.FilterLevel(klog.LevelError)))
		logger := hclog.New(&hclog.LoggerOptions{Name: s.Name, Level: hclog.LevelFromString(s.LogLevel)})
		daemon, err := entry.NewDaemon(s, logger)
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
