// Command lilacbridge-standin stands in for a model engine, a plain service or
// the platform's list of instances, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/standin"
)

// crashExit is the exit status of a process that was told to crash.
const crashExit = 3

func main() {
	root := &cobra.Command{
		Use:           "lilacbridge-standin",
		Short:         "Stand in for what lilacbridge talks to",
		Version:       build.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), platformCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
}

func engineCommand() *cobra.Command {
	config := standin.EngineConfig{Crash: crash}
	var listen string
	command := &cobra.Command{Use: "engine", Short: "Stand in for one replica of a model engine", Args: cobra.NoArgs}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringSliceVar(&config.Models, "model", []string{"redaction"}, "models that it has loaded")
	flags.IntVar(&config.Slots, "slots", 8, "sequences that it runs at once")
	flags.IntVar(&config.MaxWaiting, "max-waiting", 64, "length of the queue beyond which it answers 429")
	flags.DurationVar(&config.FirstToken, "first-token", 20*time.Millisecond, "time to the first token of a cached prompt")
	flags.DurationVar(&config.PerToken, "per-token", 8*time.Millisecond, "gap between tokens of a batch of one")
	flags.Float64Var(&config.BatchSlowdown, "batch-cost", 0.05, "share by which each further sequence lengthens the gap")
	flags.DurationVar(&config.PrefillPerWord, "prefill-per-word", 100*time.Microsecond, "time added by each prompt word not cached")
	flags.IntVar(&config.CacheBlocks, "cache-blocks", 2048, "blocks of 16 words in the prefix cache")
	flags.IntVar(&config.KVWords, "kv-words", 16384, "words in the KV cache")
	flags.DurationVar(&config.ReportLag, "report-lag", time.Second, "how late load report and cache events are")
	flags.Uint64Var(&config.EventLossInterval, "event-gap", 50, "every so many-th cache event is lost; 0 for none")
	flags.BoolVar(&config.IgnoreFencing, "ignore-fencing", false, "take orders with old fencing numbers")
	flags.DurationVar(&config.ResumeWindow, "resume-window", 2*time.Second, "how long an answer without a reader goes on")
	command.RunE = func(command *cobra.Command, _ []string) error {
		engine := standin.NewEngine(config)
		ctx, stop := context.WithCancel(command.Context())
		defer stop()
		go engine.Run(ctx)
		return serve(listen, engine.Routes)
	}
	return command
}

func serviceCommand() *cobra.Command {
	config := standin.ServiceConfig{Crash: crash}
	var listen string
	command := &cobra.Command{Use: "service", Short: "Stand in for one replica of a plain service", Args: cobra.NoArgs}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().IntVar(&config.Slots, "slots", 16, "calls at once that it reports as its size")
	command.Flags().DurationVar(&config.Latency, "latency", 20*time.Millisecond, "time that each call takes")
	command.RunE = func(*cobra.Command, []string) error {
		return serve(listen, standin.NewService(config).Routes)
	}
	return command
}

func platformCommand() *cobra.Command {
	var listen, file string
	var lag time.Duration
	command := &cobra.Command{Use: "platform", Short: "Stand in for the platform's list of instances", Args: cobra.NoArgs}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().DurationVar(&lag, "lag", 5*time.Second, "how late changes of the list show")
	command.Flags().StringVar(&file, "file", "", "JSON file with the first list")
	command.RunE = func(*cobra.Command, []string) error {
		first, err := readList(file)
		if err != nil {
			return err
		}
		return serve(listen, standin.NewPlatform(lag, first).Routes)
	}
	return command
}

func readList(file string) (standin.InstanceList, error) {
	var list standin.InstanceList
	if file == "" {
		return list, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(data, &list)
}

func serve(listen string, routes func(*khttp.Server)) error {
	server := khttp.NewServer(khttp.Address(listen), khttp.Timeout(0))
	routes(server)
	app := kratos.New(kratos.Name("lilacbridge-standin"), kratos.Server(server), kratos.StopTimeout(time.Second))
	return app.Run()
}

func crash() { os.Exit(crashExit) }
