package main

import (
	"errors"
	"os"
	"strings"

	"github.com/spf13/cobra"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Exit codes.
const (
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitUnknown     = 5
)

const (
	endpointVariable  = "LILACCTL_ENDPOINT"
	tokenFileVariable = "LILACCTL_TOKEN_FILE"
)

type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command") {
		return exitUsage
	}
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_CONFLICT:
		return exitConflict
	case lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM:
		return exitUnreachable
	case lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT:
		return exitUnknown
	case lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST:
		return exitUsage
	}
	return exitRefused
}

type globalFlags struct {
	endpoints []string
	tokenFile string
	output    string
}

func (g *globalFlags) register(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVar(&g.endpoints, "endpoint", fromEnvironment(endpointVariable), "host:port of the operators' listener of an entry; several are tried in turn ($"+endpointVariable+")")
	flags.StringVar(&g.tokenFile, "token-file", os.Getenv(tokenFileVariable), "file with the operator's token ($"+tokenFileVariable+")")
	flags.StringVarP(&g.output, "output", "o", "table", "output format: table, json or yaml")
	// It fails only for an undefined flag.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json", "yaml"}, cobra.ShellCompDirectiveNoFileComp))
}

func fromEnvironment(name string) []string {
	value := os.Getenv(name)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func (g *globalFlags) client() (*operator.Client, error) {
	if len(g.endpoints) == 0 || g.tokenFile == "" {
		return nil, usageError{errors.New("--endpoint and --token-file are required")}
	}
	data, err := os.ReadFile(g.tokenFile)
	if err != nil {
		return nil, usageError{err}
	}
	fields := strings.Fields(string(data))
	if len(fields) == 0 {
		return nil, usageError{errors.New(g.tokenFile + " contains no token")}
	}
	// A file of "NAME TOKEN" lines is accepted too; the first line's token is used.
	token := fields[0]
	if len(fields) > 1 {
		token = fields[1]
	}
	return &operator.Client{Endpoints: g.endpoints, Token: token}, nil
}
