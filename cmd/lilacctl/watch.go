package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/connection/operator"
)

const defaultInterval = 2 * time.Second

func newWatch(g *globalFlags) *cobra.Command {
	var interval time.Duration
	var times int
	cmd := &cobra.Command{
		Use:   "watch SUBJECT [WHERE …]",
		Short: "Run a SHOW statement periodically",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runWatch(cmd, g, "SHOW "+strings.Join(args, " "), interval, times)
		},
	}
	cmd.Flags().DurationVar(&interval, "interval", defaultInterval, "time between queries")
	cmd.Flags().IntVar(&times, "times", 0, "number of queries; 0 means no limit")
	return cmd
}

func runWatch(cmd *cobra.Command, g *globalFlags, statement string, interval time.Duration, times int) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	for shown := 1; ; shown++ {
		reply, err := client.Statement(cmd.Context(), &operator.StatementRequest{Statement: statement})
		if err != nil {
			return err
		}
		fmt.Println(time.Now().Format(time.RFC3339), statement)
		if err := printReply(os.Stdout, g.output, reply); err != nil {
			return err
		}
		if shown == times {
			return nil
		}
		time.Sleep(interval)
	}
}
