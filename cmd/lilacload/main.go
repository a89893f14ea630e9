// Command lilacload generates load for a lilacbridge fleet and checks every answer. It
// exits with 1 if a guarantee is violated or a result is below its minimum.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/internal/loopback"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Errors of a run whose results are unacceptable. They set exit status 1.
var (
	errViolation    = errors.New("guarantee violated")
	errBelowMinimum = errors.New("below minimum")
)

func main() {
	root := &cobra.Command{
		Use:           "lilacload",
		Short:         "Generate load for a lilacbridge fleet and check every answer",
		Version:       build.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), changesCommand(), verifyCommand(), claimsCommand(), portsCommand(), tokenCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errViolation) || errors.Is(err, errBelowMinimum) {
		os.Exit(1)
	}
	os.Exit(settings.ExitCode)
}

func portsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ports N",
		Short: "Print N free loopback ports",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var n int
			if _, err := fmt.Sscan(args[0], &n); err != nil {
				return fmt.Errorf("invalid number of ports %q", args[0])
			}
			return printPorts(command, n)
		},
	}
}

// printPorts keeps all listeners open until the last port is printed, so that no port is
// printed twice.
func printPorts(command *cobra.Command, n int) error {
	for range n {
		listener, err := loopback.ListenBelowClients()
		if err != nil {
			return err
		}
		defer listener.Close()
		fmt.Fprintln(command.OutOrStdout(), listener.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

func tokenCommand() *cobra.Command {
	var keyFile string
	command := &cobra.Command{
		Use:   "token TEAM",
		Short: "Print the token that authenticates callers of a team",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			key, err := secret.ReadKey(keyFile)
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), secret.CallerToken(key, args[0]))
			return nil
		},
	}
	command.Flags().StringVar(&keyFile, "key-file", "", "file with the callers' key")
	// It fails only for an undefined flag.
	_ = command.MarkFlagRequired("key-file")
	return command
}
