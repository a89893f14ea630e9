// Package capacity fits lines through the results of the scaling benchmarks and
// projects the cost of each role at the design size.
package capacity

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Sample is the value of one metric of one benchmark at one size.
type Sample struct {
	// Bench is the benchmark's name without its size, such as "Traffic".
	Bench string
	Unit  string
	Size  float64
	Value float64
}

// Read parses the output of "go test -bench". The size is the number after the
// last "=" in a benchmark's name; lines without one are skipped.
func Read(r io.Reader) ([]Sample, error) {
	var samples []Sample
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		bench, size, ok := splitName(fields[0])
		if !ok {
			continue
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("benchmark line %q: %w", scanner.Text(), err)
			}
			samples = append(samples, Sample{Bench: bench, Unit: fields[i+1], Size: size, Value: value})
		}
	}
	return samples, scanner.Err()
}

// splitName splits "BenchmarkTraffic/entries=64-12" into "Traffic" and 64.
func splitName(name string) (string, float64, bool) {
	name = strings.TrimPrefix(name, "Benchmark")
	if dash := strings.LastIndexByte(name, '-'); dash > strings.LastIndexByte(name, '=') {
		name = name[:dash]
	}
	equals := strings.LastIndexByte(name, '=')
	if equals < 0 {
		return "", 0, false
	}
	size, err := strconv.ParseFloat(name[equals+1:], 64)
	if err != nil {
		return "", 0, false
	}
	slash := strings.LastIndexByte(name[:equals], '/')
	return name[:max(slash, 0)], size, slash >= 0
}

// Fit is a line fitted through the samples of one metric.
type Fit struct {
	Sizes []float64
	// value = Intercept + Slope * size.
	Slope, Intercept float64
	// Spread is the largest residual as a fraction of the largest value.
	Spread float64
}

// FitLine fits a line through the samples of the benchmark's metric. It reports
// false if there are fewer than two distinct sizes.
func FitLine(samples []Sample, bench, unit string) (Fit, bool) {
	var chosen []Sample
	for _, s := range samples {
		if s.Bench == bench && s.Unit == unit {
			chosen = append(chosen, s)
		}
	}
	slices.SortFunc(chosen, func(a, b Sample) int { return cmp.Compare(a.Size, b.Size) })
	var sizes, values []float64
	for _, s := range chosen {
		sizes, values = append(sizes, s.Size), append(values, s.Value)
	}
	if len(slices.Compact(slices.Clone(sizes))) < 2 {
		return Fit{}, false
	}
	f := Fit{Sizes: sizes}
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	for i, size := range sizes {
		f.Spread = max(f.Spread, math.Abs(values[i]-f.At(size))/slices.Max(values))
	}
	return f, true
}

// At returns the fitted value at size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
