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
		Short: "Make the token by which a team's callers show who they are",
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
	cmd.Flags().StringVar(&keyFile, "key-file", "", "the callers' key file of the entries' settings")
	// It fails for a flag that is not defined, and this one is, above.
	_ = cmd.MarkFlagRequired("key-file")
	return cmd
}
