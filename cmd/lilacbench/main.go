// Command lilacbench measures the policy against baselines in virtual time.
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
		Short:         "Measure the policy against baselines on the same seeded arrivals",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(request, folder, byClass)
		},
	}
	flags := command.Flags()
	flags.StringVar(&request.Fleet, "fleet", "", "agence or madryn (default both)")
	flags.StringVar(&request.Scenario, "scenario", "", "one scenario (default all)")
	flags.StringVar(&request.Policy, "policy", "", "one policy (default all)")
	flags.Uint64Var(&request.Seed, "seed", 1, "seed of arrivals and chance")
	flags.IntVar(&request.Workers, "workers", 0, "runs at once (default 3)")
	flags.BoolVar(&byClass, "classes", true, "print the rows by class")
	flags.StringVar(&folder, "out", "out", "folder for bench.csv and bench.png; empty writes none")
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
