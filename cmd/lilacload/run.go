package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"github.com/lilacbridge/lilacbridge/loadgen"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

type runOptions struct {
	planFile  string
	fleetFile string
	keyFile   string
	jsonFile  string
	entries   []string
	seed      uint64
	duration  time.Duration
	noCuts    bool
}

func runCommand() *cobra.Command {
	var o runOptions
	command := &cobra.Command{
		Use:   "run",
		Short: "Send the load of a plan and print what the callers got",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.run(command) },
	}
	flags := command.Flags()
	flags.StringVar(&o.planFile, "plan", "", "YAML file with the load")
	flags.StringVar(&o.fleetFile, "fleet", "", "YAML file with the fleet's classes and servers")
	flags.StringVar(&o.keyFile, "key-file", "", "file with the callers' key")
	flags.StringVar(&o.jsonFile, "json", "", "also write the report as JSON to this file")
	flags.StringSliceVar(&o.entries, "entry", nil, "address of an entry, more than once")
	flags.Uint64Var(&o.seed, "seed", 0, "seed instead of the plan's")
	flags.DurationVar(&o.duration, "duration", 0, "duration instead of the plan's")
	flags.BoolVar(&o.noCuts, "no-cuts", false, "an answer that breaks off is a broken promise")
	for _, name := range []string{"plan", "fleet", "key-file", "entry"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}

// fleet is the part of the fleet's file that the load tool reads.
type fleet struct {
	Classes []struct {
		Name            string `yaml:"name"`
		Tier            int    `yaml:"tier"`
		FirstTokenMS    int64  `yaml:"first_token_ms"`
		BetweenTokensMS int64  `yaml:"between_tokens_ms"`
	} `yaml:"classes"`
	Servers []struct {
		Name    string `yaml:"name"`
		Address string `yaml:"address"`
		Kind    string `yaml:"kind"`
	} `yaml:"servers"`
}

func (f *fleet) targets() loadgen.Targets {
	targets := make(loadgen.Targets)
	for _, class := range f.Classes {
		targets[class.Name] = loadgen.Target{
			Tier:          class.Tier,
			FirstToken:    time.Duration(class.FirstTokenMS) * time.Millisecond,
			BetweenTokens: time.Duration(class.BetweenTokensMS) * time.Millisecond,
		}
	}
	return targets
}

func (f *fleet) backends() []loadgen.Backend {
	var backends []loadgen.Backend
	for _, server := range f.Servers {
		backends = append(backends, loadgen.Backend{Name: server.Name, Address: server.Address, Service: server.Kind == "service"})
	}
	return backends
}

func readFleet(file string) (*fleet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	f := &fleet{}
	return f, yaml.Unmarshal(data, f)
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
	fleet, err := readFleet(o.fleetFile)
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
	before := loadgen.Ask(command.Context(), fleet.backends())
	outcomes := loadgen.Run(command.Context(), plan, requests, caller)
	after := loadgen.Ask(command.Context(), fleet.backends())
	report := loadgen.Judge(plan, fleet.targets(), outcomes, after.Since(before))
	report.Print(command.OutOrStdout())
	if err := o.writeJSON(report); err != nil {
		return err
	}
	if report.Broken() > 0 || (o.noCuts && report.Cut > 0) {
		return errBroken
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
