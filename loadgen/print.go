package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxListed bounds the number of violations of each kind that are listed.
const maxListed = 10

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\tsent\twhole\tmet\tattainment\tgoodput t/s\twasted t\tfirst p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\tlongest ms\terrors\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%s\t\n",
			c.Class, c.Tier, c.Sends, c.Complete, c.MetTargets, c.Attainment, c.Goodput, c.Wasted,
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.Gap.P50, c.Gap.P95, c.Gap.P99, c.MaxLatencyMS, formatErrors(c.Errors))
	}
	_ = table.Flush()
	fmt.Fprintf(w, "tokens: %d generated, %d delivered in complete answers, %d avoided by cancellation; failovers: %d; interrupted: %d\n",
		r.TokensGenerated, r.TokensDelivered, r.TokensAvoided, r.Failovers, r.Interrupted)
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(w, "no counts from: %s (their runs are not included)\n", strings.Join(r.Unreachable, " "))
	}
	printList(w, "double run", r.DoubleRuns)
	printList(w, "reported as not_run but ran", r.FalseNotRun)
	printList(w, "incorrect answer", r.Problems)
	fmt.Fprintf(w, "violations: %d double runs, %d false not_run, %d incorrect answers\n", len(r.DoubleRuns), len(r.FalseNotRun), len(r.Problems))
}

func formatErrors(kinds map[string]int) string {
	if len(kinds) == 0 {
		return "-"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		parts = append(parts, fmt.Sprintf("%s:%d", kind, kinds[kind]))
	}
	return strings.Join(parts, ",")
}

func printList(w io.Writer, title string, lines []string) {
	for i, line := range lines {
		if i == maxListed {
			fmt.Fprintf(w, "%s: and %d more\n", title, len(lines)-i)
			return
		}
		fmt.Fprintf(w, "%s: %s\n", title, line)
	}
}
