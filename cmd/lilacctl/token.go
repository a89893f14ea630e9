package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/secret"
)

func newToken() *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use:   "token TEAM",
		Short: "Print the token that authenticates callers of a team",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			key, err := secret.ReadKey(keyFile)
			if err != nil {
				return err
			}
			fmt.Println(secret.CallerToken(key, args[0]))
			return nil
		},
	}
	cmd.Flags().StringVar(&keyFile, "key-file", "", "file with the callers' key, as in the entries' settings")
	// It fails only for an undefined flag.
	_ = cmd.MarkFlagRequired("key-file")
	return cmd
}
