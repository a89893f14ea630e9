package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/loadgen"
)

type changeOptions struct {
	endpoints []string
	tokenFile string
	record    string
	duration  time.Duration
	within    time.Duration
	plan      loadgen.ChangePlan
}

func (o *changeOptions) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&o.endpoints, "endpoint", nil, "operators' address of an entry, more than once")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operator's token")
	flags.StringVar(&o.record, "record", "", "file with the accepted changes")
	for _, name := range []string{"endpoint", "token-file", "record"} {
		// It fails for a flag that is not defined, and these are, above.
		_ = command.MarkFlagRequired(name)
	}
}

func (o *changeOptions) client(endpoints ...string) (*operator.Client, error) {
	data, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, err
	}
	return &operator.Client{Endpoints: endpoints, Token: strings.TrimSpace(string(data))}, nil
}

func changesCommand() *cobra.Command {
	var o changeOptions
	command := &cobra.Command{
		Use:   "changes",
		Short: "Give changes one after the other and record those that were accepted",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.change(command) },
	}
	o.register(command)
	flags := command.Flags()
	flags.StringVar(&o.plan.Prefix, "prefix", "probe", "beginning of the names of the teams that are made")
	flags.IntVar(&o.plan.Count, "count", 0, "number of changes; 0 for as many as the duration allows")
	flags.DurationVar(&o.plan.Interval, "interval", 50*time.Millisecond, "pause between changes")
	flags.DurationVar(&o.plan.Resend, "resend", 40*time.Second, "how long a change without an answer is sent again")
	flags.DurationVar(&o.duration, "duration", time.Hour, "when to stop; SIGTERM stops as well")
	return command
}

func (o *changeOptions) change(command *cobra.Command) error {
	client, err := o.client(o.endpoints...)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.duration)
	defer cancel()
	log := loadgen.ApplyChanges(ctx, client, o.plan)
	data, err := json.Marshal(log)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.record, data, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "accepted %d refused %v unknown %d longest_gap_ms %d disorder %d\n",
		len(log.Accepted), log.Refused, len(log.Unknown), log.MaxGapMS, len(log.OutOfOrder))
	if len(log.OutOfOrder) > 0 {
		return errViolation
	}
	return nil
}

func verifyCommand() *cobra.Command {
	var o changeOptions
	command := &cobra.Command{
		Use:   "verify",
		Short: "Check that every accepted change is in force at every endpoint",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.verify(command) },
	}
	o.register(command)
	command.Flags().DurationVar(&o.within, "within", 13*time.Second, "how long each endpoint may take")
	return command
}

func (o *changeOptions) verify(command *cobra.Command) error {
	data, err := os.ReadFile(o.record)
	if err != nil {
		return err
	}
	log := &loadgen.ChangeLog{}
	if err := json.Unmarshal(data, log); err != nil {
		return err
	}
	if len(log.Accepted) == 0 {
		return errors.New("the record holds no accepted change: nothing can be verified")
	}
	lostTeams := make(map[string]bool)
	unreachable := 0
	for _, endpoint := range o.endpoints {
		client, err := o.client(endpoint)
		if err != nil {
			return err
		}
		lost, err := loadgen.VerifyChanges(command.Context(), client, log, o.within)
		if err != nil {
			unreachable++
			fmt.Fprintf(command.ErrOrStderr(), "%s: %v\n", endpoint, err)
		}
		for _, team := range lost {
			lostTeams[team] = true
		}
	}
	fmt.Fprintf(command.OutOrStdout(), "accepted %d lost %d silent %d\n", len(log.Accepted), len(lostTeams), unreachable)
	if len(lostTeams)+unreachable > 0 {
		return errViolation
	}
	return nil
}
