// Command lilacbench compares the routing policy with baseline policies in simulated time.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/internal/bench"
)

func main() {
	var request bench.Request
	var folder string
	var byClass bool
	command := &cobra.Command{
		Use:           "lilacbench",
		Short:         "Compare the routing policy with baselines on the same seeded arrivals",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(request, folder, byClass)
		},
	}
	flags := command.Flags()
	flags.StringVar(&request.Fleet, "fleet", "", "fleet to simulate, agence or madryn (default both)")
	flags.StringVar(&request.Scenario, "scenario", "", "scenario to run (default all)")
	flags.StringVar(&request.Policy, "policy", "", "policy to run (default all)")
	flags.Uint64Var(&request.Seed, "seed", 1, "seed of the arrivals and all other random choices")
	flags.IntVar(&request.Workers, "workers", 0, "number of concurrent runs (default 3)")
	flags.BoolVar(&byClass, "classes", true, "print a row for each class")
	flags.StringVar(&folder, "out", "out", "folder for bench.csv and bench.png; if empty, no files are written")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilacbench:", err)
		os.Exit(1)
	}
}

func run(request bench.Request, folder string, byClass bool) error {
	results, err := bench.Run(request)
	if err != nil {
		return err
	}
	if byClass {
		bench.WriteTable(os.Stdout, results)
	}
	bench.WriteSummary(os.Stdout, results)
	bench.WriteLosses(os.Stdout, results)
	if folder == "" {
		return nil
	}
	return writeFiles(folder, results)
}

func writeFiles(folder string, results []*bench.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(folder, "bench.csv"))
	if err != nil {
		return err
	}
	bench.WriteCSV(file, results)
	if err := file.Close(); err != nil {
		return err
	}
	return bench.Plot(filepath.Join(folder, "bench.png"), results)
}
