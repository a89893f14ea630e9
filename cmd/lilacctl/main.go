// Command lilacctl is the operators' client of lilacbridge.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lilacbridge/lilacbridge/process/build"
)

func main() {
	root := &cobra.Command{Use: "lilacctl", Short: "Ask and order a lilacbridge fleet", Version: build.Version}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
