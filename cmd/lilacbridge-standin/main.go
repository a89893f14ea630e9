// Command lilacbridge-standin simulates a model engine, a plain service or the platform's
// list of instances for tests and the demo.
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

// crashExit is the exit status of an injected crash.
const crashExit = 3

func main() {
	root := &cobra.Command{
		Use:           "lilacbridge-standin",
		Short:         "Simulate the services that lilacbridge depends on",
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
	command := &cobra.Command{Use: "engine", Short: "Simulate one replica of a model engine", Args: cobra.NoArgs}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringSliceVar(&config.Models, "model", []string{"redaction"}, "models loaded at start")
	flags.IntVar(&config.Slots, "slots", 8, "number of sequences that run concurrently")
	flags.IntVar(&config.MaxWaiting, "max-waiting", 64, "queue length above which requests get 429")
	flags.DurationVar(&config.FirstToken, "first-token", 20*time.Millisecond, "time to the first token of a fully cached prompt")
	flags.DurationVar(&config.PerToken, "per-token", 8*time.Millisecond, "time between tokens with a single running sequence")
	flags.Float64Var(&config.BatchSlowdown, "batch-cost", 0.05, "fraction by which each further sequence lengthens the time between tokens")
	flags.DurationVar(&config.PrefillPerWord, "prefill-per-word", 100*time.Microsecond, "time to the first token added by each uncached prompt word")
	flags.IntVar(&config.CacheBlocks, "cache-blocks", 2048, "capacity of the prefix cache in blocks of 16 words")
	flags.IntVar(&config.KVWords, "kv-words", 16384, "capacity of the KV cache in words")
	flags.DurationVar(&config.ReportLag, "report-lag", time.Second, "delay of load reports and cache events")
	flags.Uint64Var(&config.EventLossInterval, "event-gap", 50, "drop every N-th cache event; 0 drops none")
	flags.BoolVar(&config.IgnoreFencing, "ignore-fencing", false, "accept orders with outdated fencing numbers")
	flags.DurationVar(&config.ResumeWindow, "resume-window", 2*time.Second, "how long a response without a reader is kept")
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
	command := &cobra.Command{Use: "service", Short: "Simulate one replica of a plain service", Args: cobra.NoArgs}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().IntVar(&config.Slots, "slots", 16, "number of concurrent calls reported as its capacity")
	command.Flags().DurationVar(&config.Latency, "latency", 20*time.Millisecond, "duration of each call")
	command.RunE = func(*cobra.Command, []string) error {
		return serve(listen, standin.NewService(config).Routes)
	}
	return command
}

func platformCommand() *cobra.Command {
	var listen, file string
	var lag time.Duration
	command := &cobra.Command{Use: "platform", Short: "Simulate the platform's list of instances", Args: cobra.NoArgs}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().DurationVar(&lag, "lag", 5*time.Second, "delay until changes of the list are visible")
	command.Flags().StringVar(&file, "file", "", "JSON file with the initial list")
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
