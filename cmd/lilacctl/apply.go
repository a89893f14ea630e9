package main

import (
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/operator"
)

const ifRevisionFlag = "if-revision"

func newApply(g *globalFlags) *cobra.Command {
	request := &operator.ApplyRequest{}
	var file string
	var ifRevision uint64
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Apply the classes, teams and servers of a file as one revision",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Flags().Changed(ifRevisionFlag) {
				request.IfRevision = &ifRevision
			}
			return runApply(cmd, g, file, request)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "fleet file to apply")
	cmd.Flags().StringVar(&request.CommandID, "command-id", "", "id of an earlier attempt, to repeat it safely and learn its outcome")
	cmd.Flags().Uint64Var(&ifRevision, ifRevisionFlag, 0, "apply only if this is the current revision; 0 is an empty configuration")
	cmd.Flags().BoolVar(&request.DryRun, "dry-run", false, "show the difference without applying it")
	cmd.Flags().BoolVar(&request.Prune, "prune", false, "delete items that are not in the file")
	// It fails only for an undefined flag.
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func runApply(cmd *cobra.Command, g *globalFlags, file string, request *operator.ApplyRequest) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return usageError{err}
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	request.Document = string(document)
	if request.CommandID == "" {
		request.CommandID = uuid.NewString()
	}
	reply, err := client.Apply(cmd.Context(), request)
	if err != nil {
		return err
	}
	return printReply(os.Stdout, g.output, reply)
}
