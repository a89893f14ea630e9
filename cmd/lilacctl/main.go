// Command lilacctl is the operators' command-line client of lilacbridge. It runs
// statements, applies fleet files, validates settings and inspects and recovers data folders.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/build"
)

func main() {
	root := newRoot()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilacctl:", err)
		os.Exit(exitCode(err))
	}
}

func newRoot() *cobra.Command {
	flags := &globalFlags{}
	root := &cobra.Command{
		Use:           "lilacctl",
		Short:         "Query and control a lilacbridge fleet",
		Version:       build.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags.register(root)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newExec(flags), newShow(flags), newApply(flags), newWatch(flags), newCheck(), newDiag(), newRecover(), newToken(), newExplain())
	return root
}
