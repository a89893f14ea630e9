// Command lilaccapacity reads the output of the scaling benchmarks from standard input and
// prints the projected cost of each role at the design size. It exits with 1 if a
// benchmark has too few samples and with 2 if the input can't be read.
package main

import (
	"fmt"
	"os"

	"github.com/lilacbridge/lilacbridge/internal/capacity"
)

func main() {
	samples, err := capacity.Read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lilaccapacity:", err)
		os.Exit(2)
	}
	if _, missing := capacity.Report(os.Stdout, samples); missing > 0 {
		os.Exit(1)
	}
}
