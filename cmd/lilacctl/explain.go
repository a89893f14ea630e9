package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/logs/story"
)

// newExplain tells a request's story from log files or standard input.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [LOG...]",
		Short: "Tell what became of a request, from the logs of all instances",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{fmt.Errorf("explain needs the request's id; callers send it with each attempt, and each line on it holds it in field request")}
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
				return fmt.Errorf("no line on request %q (%d lines are no JSON); give the logs of all entries from the minute of the request, and look for \"log lines\" that were dropped or left out", args[0], s.Skipped)
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
