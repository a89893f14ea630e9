package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/loadgen"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/fleet"
)

type runOptions struct {
	planFile          string
	fleetFile         string
	keyFile           string
	jsonFile          string
	entries           []string
	seed              uint64
	duration          time.Duration
	forbidInterrupted bool
	minComplete       float64
	// minAttainment is a number for each class, forbid an error kind for each class.
	minAttainment map[string]string
	forbid        map[string]string
}

func runCommand() *cobra.Command {
	var o runOptions
	command := &cobra.Command{
		Use:   "run",
		Short: "Send the load of a plan and print a report of the results",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.run(command) },
	}
	flags := command.Flags()
	flags.StringVar(&o.planFile, "plan", "", "YAML file with the load plan")
	flags.StringVar(&o.fleetFile, "fleet", "", "YAML file with the fleet's classes and servers")
	flags.StringVar(&o.keyFile, "key-file", "", "file with the callers' key")
	flags.StringVar(&o.jsonFile, "json", "", "also write the report as JSON to this file")
	flags.StringSliceVar(&o.entries, "entry", nil, "address of an entry, repeatable")
	flags.Uint64Var(&o.seed, "seed", 0, "seed, overrides the plan's")
	flags.DurationVar(&o.duration, "duration", 0, "duration, overrides the plan's")
	flags.BoolVar(&o.forbidInterrupted, "no-cuts", false, "treat an interrupted answer as a violation")
	flags.Float64Var(&o.minComplete, "min-whole", 0, "minimum share of each class's requests that must get a complete answer")
	flags.StringToStringVar(&o.minAttainment, "min-attainment", nil, "minimum attainment of a class, such as alerts=0.9")
	flags.StringToStringVar(&o.forbid, "forbid", nil, "error kind that a class must not get, such as alerts=overloaded")
	for _, name := range []string{"plan", "fleet", "key-file", "entry"} {
		// It fails only for an undefined flag.
		_ = command.MarkFlagRequired(name)
	}
	return command
}

func targets(f *fleet.Fleet) loadgen.Targets {
	targets := make(loadgen.Targets)
	for _, class := range f.Classes {
		targets[class.Name] = loadgen.Target{
			Tier:          int(class.Tier),
			FirstToken:    time.Duration(class.FirstTokenMs) * time.Millisecond,
			BetweenTokens: time.Duration(class.BetweenTokensMs) * time.Millisecond,
		}
	}
	return targets
}

func backends(f *fleet.Fleet) []loadgen.Backend {
	var backends []loadgen.Backend
	for _, server := range f.Servers {
		backends = append(backends, loadgen.Backend{Name: server.Name, Address: server.Address})
	}
	return backends
}

func loadFleet(file string) (*fleet.Fleet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return fleet.Parse(data)
}

func (o *runOptions) plan() (*loadgen.Plan, error) {
	plan := &loadgen.Plan{}
	if err := settings.Load(o.planFile, plan); err != nil {
		return nil, err
	}
	if o.seed != 0 {
		plan.Seed = o.seed
	}
	if o.duration != 0 {
		plan.Duration.Duration = o.duration
	}
	return plan, nil
}

func (o *runOptions) run(command *cobra.Command) error {
	plan, err := o.plan()
	if err != nil {
		return err
	}
	file, err := loadFleet(o.fleetFile)
	if err != nil {
		return err
	}
	key, err := secret.ReadKey(o.keyFile)
	if err != nil {
		return err
	}
	var urls []string
	for _, entry := range o.entries {
		urls = append(urls, "http://"+strings.TrimPrefix(entry, "http://"))
	}
	caller := loadgen.NewCaller(urls, func(team string) string { return secret.CallerToken(key, team) })
	requests := loadgen.Arrivals(plan, len(urls))
	before := loadgen.FetchStats(command.Context(), backends(file))
	outcomes := loadgen.Run(command.Context(), plan, requests, caller)
	after := loadgen.FetchStats(command.Context(), backends(file))
	report := loadgen.Evaluate(plan, targets(file), outcomes, after.Since(before))
	report.Print(command.OutOrStdout())
	if err := o.writeJSON(report); err != nil {
		return err
	}
	return o.checkReport(report)
}

func (o *runOptions) checkReport(report *loadgen.Report) error {
	if report.Violations() > 0 || (o.forbidInterrupted && report.Interrupted > 0) {
		return errViolation
	}
	for _, class := range report.Classes {
		if err := o.checkClass(class); err != nil {
			return err
		}
		if notCanceled := class.Requests - class.Canceled; float64(class.Complete) < o.minComplete*float64(notCanceled) {
			return fmt.Errorf("class %s: %d of %d requests got complete answers: %w", class.Class, class.Complete, notCanceled, errBelowMinimum)
		}
	}
	return nil
}

func (o *runOptions) checkClass(class loadgen.ClassReport) error {
	if text, ok := o.minAttainment[class.Class]; ok {
		minimum, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("min-attainment of %s: %w", class.Class, err)
		}
		if class.Attainment < minimum {
			return fmt.Errorf("class %s: attainment %.3f, required %s: %w", class.Class, class.Attainment, text, errBelowMinimum)
		}
	}
	if kind := o.forbid[class.Class]; kind != "" && class.Errors[kind] > 0 {
		return fmt.Errorf("class %s: got %d errors of forbidden kind %s: %w", class.Class, class.Errors[kind], kind, errViolation)
	}
	return nil
}

func (o *runOptions) writeJSON(report *loadgen.Report) error {
	if o.jsonFile == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("report as JSON: %w", err)
	}
	return os.WriteFile(o.jsonFile, append(data, '\n'), 0o644)
}
