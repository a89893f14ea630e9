package main

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/daemon/state"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

type recoverFlags struct {
	state.RecoverOptions
	noEntries bool
}

func newRecover() *cobra.Command {
	f := &recoverFlags{}
	cmd := &cobra.Command{
		Use:   "recover SETTINGS",
		Short: "Create a new group from one surviving state process after the permanent loss of a majority",
		Long: `Read the data folder named in a state process's settings and show what a recovery
from it would do; with --confirm, do it. The process must not be running.
The old group can't be used afterwards; read docs/OPERATING.md first.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error { return runRecover(cmd, f, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.Entries, "entry", nil, "link address (host:port) of each entry; entries may have changes that the folder lacks")
	flags.BoolVar(&f.noEntries, "no-entries", false, "proceed without any entry; changes that only entries have are lost")
	flags.DurationVar(&f.KeyMargin, "key-margin", state.DefaultKeyMargin, "maximum clock skew of callers that send time-based keys; such keys are refused for that long")
	flags.StringVar(&f.Who, "who", "", "name of the operator, for the audit trail")
	flags.BoolVar(&f.Confirm, "confirm", false, "write the changes; without it nothing is written")
	// It fails only for an undefined flag.
	_ = cmd.MarkFlagRequired("who")
	return cmd
}

func runRecover(cmd *cobra.Command, f *recoverFlags, file string) error {
	if len(f.Entries) == 0 && !f.noEntries {
		return usageError{errors.New("pass every reachable entry with --entry, or pass --no-entries")}
	}
	s := &settings.State{}
	if err := settings.Load(file, s); err != nil {
		return usageError{err}
	}
	keys, err := secret.ReadKeys(s.LinkKeyFile)
	if err != nil {
		return usageError{err}
	}
	id := link.Identity{Peer: link.Peer{Process: "lilacctl", DataCenter: s.DataCenter}, Keys: secret.StaticKeys(keys...)}
	o := f.RecoverOptions
	o.Folder = wal.ReadOnlyFolder(s.Data)
	o.AuditRetention, o.Limits = s.AuditRetention, ledger.Limits{Retention: s.ClaimRetention.Duration}
	o.Dial = func(address string) link.Caller { return link.NewClient(address, id) }
	o.Random, o.Now = randomBits, time.Now
	done, err := state.Recover(cmd.Context(), o)
	if err != nil {
		return err
	}
	printRecovery(os.Stdout, done)
	return nil
}

func randomBits() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Documented never to fail.
	return binary.LittleEndian.Uint64(b[:])
}

func printRecovery(w io.Writer, r *state.Recovery) {
	fmt.Fprintf(w, "identity %s in group %s, last index %d of term %d, revision %d, %d keys of which %d open\n",
		r.Identity, r.Group, r.LastIndex, r.LastTerm, r.Revision, r.Keys, r.OpenClaims)
	fmt.Fprintf(w, "lost voters: %v\n", r.Lost)
	printConfig(w, r)
	fmt.Fprintf(w, "open keys, and keys whose requests had not run, become unknown; their requests are never run again\n")
	fmt.Fprintf(w, "time-based keys from before %s that are not in the folder are refused as outcome_unknown\n", r.TimedKeysFrom.Format(time.RFC3339))
	fmt.Fprintf(w, "other keys that are not in the folder are refused until %s\n", r.UntimedKeysFrom.Format(time.RFC3339))
	fmt.Fprintf(w, "leases are granted again about a minute after they are first requested, with higher fencing numbers\n")
	if !r.Done {
		fmt.Fprintln(w, "nothing was changed; run again with --confirm to create the new group")
		return
	}
	fmt.Fprintf(w, "group %s created at revision %d; start this process, then the others with empty folders\n", r.NewGroup, r.NewRevision)
}

func printConfig(w io.Writer, r *state.Recovery) {
	switch {
	case r.Diverged:
		fmt.Fprintf(w, "the folder's newest revisions were never accepted; they are replaced by revision %d of the entries\n", r.EntryRevision)
	case r.Adopted:
		fmt.Fprintf(w, "revisions %d to %d, which are not in the folder, are taken from the entries\n", r.Revision+1, r.EntryRevision)
	case r.EntryRevision == 0:
		fmt.Fprintf(w, "no entry has a revision; those after %d that the lost voters accepted are lost\n", r.Revision)
	default:
		fmt.Fprintf(w, "no entry that answered has a revision after %d; later ones that none of them has are lost\n", r.Revision)
	}
	fmt.Fprintf(w, "revisions continue from %d\n", r.NewRevision)
}
