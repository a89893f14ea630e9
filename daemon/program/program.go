// Package program is what the mains of the daemons share: the command line, the
// reading of settings, the logger and the exit status.
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// exitFailed is the status of a daemon that could not start or go on;
// settings.ExitCode that of one whose settings are wrong.
const exitFailed = 1

// Settings are those of one kind of daemon.
type Settings interface {
	settings.Validator
	// Shared returns the part that all kinds have.
	Shared() *settings.Common
}

// Daemon runs until it is told to stop.
type Daemon interface {
	Run(ctx context.Context) error
}

// Main reads the settings that the command line names, opens the daemon and
// runs it. It does not return if anything failed.
func Main[S Settings](name, short string, s S, open func(S, hclog.Logger) (Daemon, error)) {
	var file string
	code := settings.ExitCode
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Version:       build.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Flags().StringVar(&file, "settings", "", "YAML file with the settings of this process")
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := settings.Load(file, s); err != nil {
			return err
		}
		code = exitFailed
		return run(cmd.Context(), file, s, open)
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}

func run[S Settings](ctx context.Context, file string, s S, open func(S, hclog.Logger) (Daemon, error)) error {
	// The framework's own lines are no changes of state.
	kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard))
	common := s.Shared()
	if common.GCPercent > 0 {
		debug.SetGCPercent(common.GCPercent)
	}
	output := logs.NewWriter(os.Stdout)
	defer output.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: common.Name, Level: hclog.LevelFromString(common.LogLevel), JSONFormat: true, Output: output,
	})
	daemon, err := open(s, logger)
	if err != nil {
		return err
	}
	if reloadable, ok := daemon.(Reloadable[S]); ok {
		// What was read at the start; a later change differs from it.
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		following, stop := context.WithCancel(ctx)
		defer stop()
		r := &reloader[S]{file: file, logger: logger, daemon: reloadable, content: content}
		go r.follow(following)
	}
	return daemon.Run(ctx)
}
