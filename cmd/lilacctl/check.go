package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:       "check entry|state FILE",
		Short:     "Check a settings file without starting anything",
		ValidArgs: []string{"entry", "state"},
		Args:      usageArgs(cobra.ExactArgs(2)),
		RunE: func(_ *cobra.Command, args []string) error {
			return runCheck(args[0], args[1])
		},
	}
}

func runCheck(kind, file string) error {
	targets := map[string]settings.Validator{"entry": &settings.Entry{}, "state": &settings.State{}}
	target, ok := targets[kind]
	if !ok {
		return usageError{fmt.Errorf("unknown kind of process %q; use entry or state", kind)}
	}
	if err := settings.Load(file, target); err != nil {
		return usageError{err}
	}
	fmt.Println(file + ": ok")
	return nil
}
