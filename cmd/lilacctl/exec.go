package main

import (
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/operator"
)

func newExec(g *globalFlags) *cobra.Command {
	request := &operator.StatementRequest{}
	cmd := &cobra.Command{
		Use:     "exec STATEMENT",
		Short:   "Run one statement",
		Example: `  lilacctl exec "SET CLASS alerts TIER 0 FIRST TOKEN 420ms IF REVISION 41"`,
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			request.Statement = strings.Join(args, " ")
			return runStatement(cmd, g, request)
		},
	}
	cmd.Flags().StringVar(&request.CommandID, "command-id", "", "id of an earlier attempt, to repeat it safely and learn its outcome")
	cmd.Flags().BoolVar(&request.DryRun, "dry-run", false, "check the change without applying it")
	return cmd
}

func newShow(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:       "show SUBJECT [WHERE … ORDER BY … LIMIT …]",
		Short:     "Run a SHOW statement",
		ValidArgs: []string{"requests", "servers", "classes", "teams", "instances", "revisions", "audit", "leases", "duties", "replicas", "convictions", "versions", "models", "state"},
		Args:      usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runStatement(cmd, g, &operator.StatementRequest{Statement: "SHOW " + strings.Join(args, " ")})
		},
	}
}

func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

func runStatement(cmd *cobra.Command, g *globalFlags, request *operator.StatementRequest) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	if request.CommandID == "" {
		request.CommandID = uuid.NewString()
	}
	reply, err := client.Statement(cmd.Context(), request)
	if err != nil {
		return err
	}
	return printReply(os.Stdout, g.output, reply)
}
