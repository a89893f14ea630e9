package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/request/estimate"
)

// row is what one policy did for one class in one scenario.
type row struct {
	class          *class
	calls          int
	met            int
	metFirst       int
	between        int
	answered       int
	good           int
	broken         int
	abandonedCalls int
	refusals       map[string]int
	longest        time.Duration
	// longestServed is the longest wait of those that were answered.
	longestServed time.Duration
}

func (r *row) attainment() float64 { return share(r.met, r.calls) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// Result is one run's outcome.
type Result struct {
	Fleet, Scenario, Policy string
	rows                    []*row
	// GoodTokens are those of answers within their targets.
	GoodTokens int
	// MadeTokens were generated, WastedTokens of these reached no whole answer.
	GeneratedTokens, WastedTokens int
	// RedoneTokens are prompt tokens computed again in later attempts, MovedTokens
	// those, answers included, whose KV cache went to another engine.
	RecomputedTokens, KVTokensMoved int
	Length                          time.Duration
	Restarts                        int
	RanTwice                        int
	FalseNotRun                     int
	Crashes                         int
	RemoteShare                     float64
	Violations                      map[string]uint64
	// Estimate sums up how far the predicted answer lengths were off.
	Estimate estimate.ErrorStats
}

func (w *world) result(policyName string) *Result {
	out := &Result{Fleet: w.fleet.name, Scenario: w.scenario.name, Policy: policyName, Length: w.scenario.length, Violations: map[string]uint64{}}
	byClass := map[string]*row{}
	for i := range w.fleet.classes {
		r := &row{class: &w.fleet.classes[i], refusals: map[string]int{}}
		byClass[r.class.name] = r
		out.rows = append(out.rows, r)
	}
	answeredTokens := 0
	for _, k := range w.calls {
		r := byClass[k.class.name]
		r.count(k)
		out.Restarts += k.restarts
		if k.ranTwice {
			out.RanTwice++
		}
		if k.outcome == answered && !k.class.service {
			answeredTokens += k.output
			if k.met() {
				out.GoodTokens += k.output
			}
		}
	}
	out.GeneratedTokens = w.tally.generated
	out.WastedTokens = w.tally.generated - answeredTokens
	out.RecomputedTokens = w.tally.recomputed
	out.KVTokensMoved = w.tally.kvTokensMoved
	w.addInstances(out)
	return out
}

func (w *world) addInstances(out *Result) {
	started, remote := 0, 0
	for _, in := range w.instances {
		started += in.started
		remote += in.remote
		out.FalseNotRun += in.falseNotRun
		stats := in.core.Stats()
		out.Estimate.Add(stats.Estimates)
		for name, count := range stats.Violations {
			out.Violations[string(name)] += count
		}
	}
	out.RemoteShare = share(remote, started)
	for _, e := range w.engines {
		out.Crashes += e.crashes
	}
}

func (r *row) count(k *call) {
	r.calls++
	wait := k.wait()
	r.longest = max(r.longest, wait)
	switch k.outcome {
	case answered:
		r.answered++
		r.longestServed = max(r.longestServed, wait)
	case refused:
		r.refusals[k.refusal]++
	case broken:
		r.broken++
	default:
		r.abandonedCalls++
	}
	if k.metFirst() {
		r.metFirst++
	}
	if k.metBetween() {
		r.between++
	}
	if k.met() {
		r.met++
		if !k.class.service {
			r.good += k.output
		}
	}
}

func (r *row) refusalText() string {
	kinds := make([]string, 0, len(r.refusals))
	for kind, count := range r.refusals {
		kinds = append(kinds, fmt.Sprintf("%s=%d", kind, count))
	}
	slices.Sort(kinds)
	if len(kinds) == 0 {
		return "-"
	}
	return strings.Join(kinds, " ")
}

// weighted is the attainment over classes with the weights 4, 3, 2 and 1 by tier.
func (out *Result) weighted() float64 {
	sum, weight := 0.0, 0.0
	for _, r := range out.rows {
		w := float64(4 - r.class.tier)
		sum += w * r.attainment()
		weight += w
	}
	return sum / weight
}

func (out *Result) goodRate() float64 { return float64(out.GoodTokens) / out.Length.Seconds() }

func (out *Result) wastedShare() float64 { return share(out.WastedTokens, out.GeneratedTokens) }

// WriteTable prints the summary and the rows by class.
func WriteTable(to io.Writer, results []*Result) {
	group := ""
	for _, out := range results {
		name := out.Fleet + " " + out.Scenario
		if name != group {
			group = name
			fmt.Fprintf(to, "\n== %s\n", name)
			fmt.Fprintf(to, "%-15s %-13s %6s %7s %7s %7s %9s %6s %5s %8s %8s  %s\n",
				"policy", "class", "calls", "met%", "first%", "betw%", "good t/s", "brokn", "gone", "wait s", "served s", "refusals")
		}
		for _, r := range out.rows {
			writeRow(to, out, r)
		}
		fmt.Fprintf(to, "%-15s %-13s %6s %7.2f %7s %7s %9.0f  wasted %.2f%% (%d) redone prompt %d moved %d restarts %d remote %.0f%% crashes %d twice %d misled %d%s\n",
			out.Policy, "ALL", "", out.weighted(), "", "", out.goodRate(), out.wastedShare(), out.WastedTokens, out.RecomputedTokens, out.KVTokensMoved,
			out.Restarts, out.RemoteShare, out.Crashes, out.RanTwice, out.FalseNotRun, out.estimateText()+out.violationText())
	}
}

func writeRow(to io.Writer, out *Result, r *row) {
	fmt.Fprintf(to, "%-15s %-13s %6d %7.2f %7.2f %7.2f %9.0f %6d %5d %8.2f %8.2f  %s\n",
		out.Policy, r.class.name, r.calls, r.attainment(), share(r.metFirst, r.calls), share(r.between, r.calls),
		float64(r.good)/out.Length.Seconds(), r.broken, r.abandonedCalls, r.longest.Seconds(), r.longestServed.Seconds(), r.refusalText())
}

func (out *Result) estimateText() string {
	if out.Estimate.Answers == 0 {
		return ""
	}
	return fmt.Sprintf(" length error %.0f%%", 100*out.Estimate.Relative())
}

func (out *Result) violationText() string {
	names := make([]string, 0, len(out.Violations))
	for name, count := range out.Violations {
		names = append(names, fmt.Sprintf(" VIOLATED %s=%d", name, count))
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

// WriteSummary prints one line by fleet, scenario and policy.
func WriteSummary(to io.Writer, results []*Result) {
	fmt.Fprintf(to, "\n%-8s %-17s %-15s %9s %7s %7s %7s %7s %9s %8s\n", "fleet", "scenario", "policy", "weighted%", "tier0%", "tier1%", "tier2%", "tier3%", "good t/s", "wasted%")
	for _, out := range results {
		fmt.Fprintf(to, "%-8s %-17s %-15s %9.2f", out.Fleet, out.Scenario, out.Policy, out.weighted())
		for tier := range uint32(4) {
			met, calls := 0, 0
			for _, r := range out.rows {
				if r.class.tier == tier && !r.class.service {
					met += r.met
					calls += r.calls
				}
			}
			fmt.Fprintf(to, " %7.2f", share(met, calls))
		}
		fmt.Fprintf(to, " %9.0f %8.2f%s\n", out.goodRate(), out.wastedShare(), out.violationText())
	}
}

// WriteLosses lists each class in which a baseline attained more than the
// product in the same scenario, by more than half a point.
func WriteLosses(to io.Writer, results []*Result) {
	const least = 0.5
	products := map[string]*Result{}
	for _, out := range results {
		if out.Policy == Product {
			products[out.Fleet+out.Scenario] = out
		}
	}
	count := 0
	for _, out := range results {
		product := products[out.Fleet+out.Scenario]
		if product == nil || out.Policy == Product || out.Policy == boundName {
			continue
		}
		for i, r := range out.rows {
			ours := product.rows[i]
			if gap := r.attainment() - ours.attainment(); gap > least {
				count++
				fmt.Fprintf(to, "baseline ahead: %s %s %s: %s %.2f, %s %.2f\n", out.Fleet, out.Scenario, r.class.name, out.Policy, r.attainment(), Product, ours.attainment())
			}
		}
	}
	fmt.Fprintf(to, "baseline ahead by more than %.1f points: %d rows\n", least, count)
}

// WriteCSV writes one line by class.
func WriteCSV(to io.Writer, results []*Result) {
	fmt.Fprintln(to, "fleet,scenario,policy,class,tier,calls,met_percent,first_percent,between_percent,good_tokens_per_s,broken,abandoned,longest_wait_s,longest_served_wait_s,wasted_percent,refusals")
	for _, out := range results {
		for _, r := range out.rows {
			fmt.Fprintf(to, "%s,%s,%s,%s,%d,%d,%.3f,%.3f,%.3f,%.1f,%d,%d,%.3f,%.3f,%.3f,%s\n",
				out.Fleet, out.Scenario, out.Policy, r.class.name, r.class.tier, r.calls, r.attainment(), share(r.metFirst, r.calls),
				share(r.between, r.calls), float64(r.good)/out.Length.Seconds(), r.broken, r.abandonedCalls, r.longest.Seconds(), r.longestServed.Seconds(),
				out.wastedShare(), r.refusalText())
		}
	}
}
