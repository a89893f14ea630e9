// Command lilaccapacity reads the output of the size benchmarks from standard
// input and prints what each role costs at the size to design for.
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
