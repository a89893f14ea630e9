// Package program holds what the main packages of the daemons have in common: the
// command line, settings loading and reloading, the logger and the exit status.
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

	"github.com/lilacbridge/lilacbridge/daemon/signals"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// exitFailed is the exit status of a daemon that failed to start or failed while
// running. A daemon with invalid settings exits with settings.ExitCode.
const exitFailed = 1

// heapShare of shareWhole is the part of the memory above which the collector runs more often, so that
// garbage takes no more. The rest is for the program's own pages and for the kernel.
const (
	heapShare  = 2
	shareWhole = 3
)

// Settings are the settings of one kind of daemon.
type Settings interface {
	settings.Validator
	// Shared returns the settings that every kind of daemon has.
	Shared() *settings.Common
	// Machine returns what the process may use of its machine.
	Machine() *settings.ProcessLimits
}

// Daemon is a process that runs until ctx ends.
type Daemon interface {
	// Run returns nil after the end of ctx, which is a requested stop.
	Run(ctx context.Context) error
}

// Main loads the settings file given on the command line, opens the daemon and runs
// it. On failure it prints the error and exits the process.
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
		content, err := settings.Read(file)
		if err != nil {
			return err
		}
		if err := settings.Parse(file, content, s); err != nil {
			return err
		}
		code = exitFailed
		ctx, cancel := context.WithCancel(cmd.Context())
		defer cancel()
		go func() {
			<-signals.Stops
			cancel()
		}()
		return run(ctx, s, settingsFile{name: file, content: content}, open)
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}

// settingsFile is a settings file with the content that was read last.
type settingsFile struct {
	name    string
	content []byte
}

func run[S Settings](ctx context.Context, s S, file settingsFile, open func(S, hclog.Logger) (Daemon, error)) error {
	// Discards the framework's log lines: they report no state changes of the daemon.
	kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard))
	common := s.Shared()
	if common.GCPercent > 0 {
		debug.SetGCPercent(common.GCPercent)
	}
	if memory := s.Machine().MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(memory * heapShare / shareWhole)
	}
	output := logs.NewWriter(os.Stdout)
	defer output.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: common.Name, Level: hclog.LevelFromString(common.LogLevel), JSONFormat: true, Output: output,
	})
	logs.RedirectStandard(logger)
	if ctx.Err() != nil {
		return nil
	}
	daemon, err := open(s, logger)
	if err != nil {
		return err
	}
	if reloadable, ok := daemon.(Reloadable[S]); ok {
		reloadCtx, stop := context.WithCancel(ctx)
		defer stop()
		r := &reloader[S]{file: file, logger: logger, daemon: reloadable}
		go r.run(reloadCtx)
	}
	return daemon.Run(ctx)
}
