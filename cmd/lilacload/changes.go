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
	flags.StringSliceVar(&o.endpoints, "endpoint", nil, "operators' address of an entry, repeatable")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operator's token")
	flags.StringVar(&o.record, "record", "", "file that records the accepted changes")
	for _, name := range []string{"endpoint", "token-file", "record"} {
		// It fails only for an undefined flag.
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
		Short: "Submit changes one after the other and record the accepted ones",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.change(command) },
	}
	o.register(command)
	flags := command.Flags()
	flags.StringVar(&o.plan.Prefix, "prefix", "probe", "prefix of the names of the created teams")
	flags.IntVar(&o.plan.Count, "count", 0, "number of changes; 0 means no limit")
	flags.DurationVar(&o.plan.Interval, "interval", 50*time.Millisecond, "pause between changes")
	flags.DurationVar(&o.plan.Resend, "resend", 40*time.Second, "how long to retry a change without a final response")
	flags.DurationVar(&o.duration, "duration", time.Hour, "time after which to stop; SIGTERM also stops")
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
		Short: "Verify that every accepted change is in force at every endpoint",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.verify(command) },
	}
	o.register(command)
	command.Flags().DurationVar(&o.within, "within", 13*time.Second, "time within which each endpoint must show all changes")
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
		return errors.New("the record contains no accepted change to verify")
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
