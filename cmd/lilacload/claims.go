package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/stateclient"
	"github.com/lilacbridge/lilacbridge/loadgen"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// claimsInFlight limits the number of concurrent claims.
const claimsInFlight = 4096

type claimOptions struct {
	states    []string
	keyFile   string
	instances int
	plan      loadgen.ClaimPlan
}

func claimsCommand() *cobra.Command {
	o := claimOptions{plan: loadgen.ClaimPlan{InFlight: claimsInFlight}}
	command := &cobra.Command{
		Use:   "claims",
		Short: "Claim non-idempotent requests directly at the state processes and record their outcomes",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return o.run(command) },
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.states, "state", nil, "link address of a state process, repeatable")
	flags.StringVar(&o.keyFile, "link-key-file", "", "file with the key of the links")
	flags.IntVar(&o.instances, "instances", 8, "number of simulated entries, each with its own links")
	flags.IntVar(&o.plan.PerSecond, "rate", 100, "claims per second")
	flags.DurationVar(&o.plan.Duration, "duration", 10*time.Second, "duration of the load")
	flags.IntVar(&o.plan.AnswerBytes, "answer-bytes", 256, "size of the answer recorded with each outcome, in bytes")
	for _, name := range []string{"state", "link-key-file"} {
		// It fails only for an undefined flag.
		_ = command.MarkFlagRequired(name)
	}
	return command
}

func (o *claimOptions) run(command *cobra.Command) error {
	keys, err := secret.Open(o.keyFile, secret.ReadKeys)
	if err != nil {
		return err
	}
	var ledgers []loadgen.Ledger
	for i := range o.instances {
		ledgers = append(ledgers, o.newLedger(command.Context(), fmt.Sprint("lilacload-", i), keys.Get))
	}
	counts := loadgen.RunClaims(command.Context(), ledgers, o.plan)
	fmt.Fprintf(command.OutOrStdout(), "ended %d failed %d skipped %d in %.2f s\n", counts.Completed, counts.Failed, counts.Skipped, counts.Elapsed.Seconds())
	if counts.Failed+counts.Skipped > 0 {
		return errBelowMinimum
	}
	return nil
}

// newLedger returns a client of the state processes with its own links. It runs until
// the context ends.
func (o *claimOptions) newLedger(ctx context.Context, name string, keys func() secret.Keys) *stateclient.Client {
	id := link.Identity{Peer: link.Peer{Process: name}, Keys: keys}
	callers := make(map[string]*link.Client)
	var peers []settings.Peer
	for _, address := range o.states {
		callers[address] = link.NewClient(address, id)
		peers = append(peers, settings.Peer{Name: address, Address: settings.Address{Value: address}})
	}
	client := stateclient.New(stateclient.Options{
		Instance: name, Peers: peers, Dial: func(address string) link.Caller { return callers[address] },
	})
	go func() { _ = client.Run(ctx) }()
	return client
}
