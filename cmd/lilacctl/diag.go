package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/wal"
)

func newDiag() *cobra.Command {
	return &cobra.Command{
		Use:   "diag FOLDER",
		Short: "Inspect the data folder of a state process, read-only, also while it runs",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			report, err := wal.Inspect(wal.ReadOnlyFolder(args[0]))
			if err != nil {
				return err
			}
			printReport(os.Stdout, report)
			return nil
		},
	}
}

func printReport(w io.Writer, r *wal.Report) {
	if r.Empty {
		fmt.Fprintln(w, "empty: no process has used this folder, or its contents were lost")
		return
	}
	fmt.Fprintf(w, "identity %s in group %s, term %d, vote %q\n", r.ID, r.Group, r.Term, r.Vote)
	if len(r.Former) > 0 {
		fmt.Fprintf(w, "recovered after the loss of a majority; former groups, oldest first: %v\n", r.Former)
	}
	if r.ReplacedBy != "" {
		fmt.Fprintf(w, "replaced by the recovered group %s: move this folder away and start with an empty one\n", r.ReplacedBy)
	}
	fmt.Fprintf(w, "snapshot at index %d, %d bytes\n", r.SnapshotIndex, r.SnapshotBytes)
	fmt.Fprintf(w, "entries %d to %d, last of term %d, in %d records and %d segments\n", r.FirstIndex, r.LastIndex, r.LastTerm, r.Records, r.Segments)
	if r.TornBytes > 0 {
		fmt.Fprintf(w, "torn tail of %d bytes, never acknowledged; the next start truncates it\n", r.TornBytes)
	}
	for _, name := range r.Unfinished {
		fmt.Fprintf(w, "unfinished file %s; the next start removes it\n", name)
	}
	for _, member := range r.Members {
		role := "learner"
		if member.GetVoter() {
			role = "voter"
		}
		fmt.Fprintf(w, "%s %s (%s) at %s\n", role, member.GetName(), member.GetId(), member.GetAddress())
	}
}
