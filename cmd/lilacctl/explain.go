package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/logs/story"
)

// newExplain returns the command that reconstructs a request's history from log files or
// standard input.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [LOG...]",
		Short: "Show the history of a request from the logs of all instances",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{fmt.Errorf("explain needs the id of a request, which callers send with each attempt; log lines about a request carry it in field request")}
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			s := &story.Timeline{}
			if len(args) == 1 {
				if err := s.Read(command.InOrStdin()); err != nil {
					return err
				}
			}
			for _, file := range args[1:] {
				if err := readLog(s, file); err != nil {
					return err
				}
			}
			if !s.Print(command.OutOrStdout(), args[0]) {
				return fmt.Errorf("no log line about request %q (%d lines are not JSON); pass the logs of all entries from the time of the request, and search them for messages about dropped or omitted \"log lines\"", args[0], s.Skipped)
			}
			return nil
		},
	}
}

func readLog(s *story.Timeline, file string) error {
	log, err := os.Open(file)
	if err != nil {
		return err
	}
	defer log.Close()
	return s.Read(log)
}
