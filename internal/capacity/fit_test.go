package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const output = `goos: linux
BenchmarkTraffic/entries=8-12         	       1	         0 ns/op	      6600 mean-B/s
BenchmarkTraffic/entries=64-12        	       1	         0 ns/op	      6656 mean-B/s
BenchmarkSize/teams=45000/keys=1000-12	       1	     10 ns/op
PASS
`

func TestFitTakesSizesFromNames(t *testing.T) {
	is := is.New(t)
	samples, err := Read(strings.NewReader(output))
	is.NoErr(err)
	fit, ok := FitLine(samples, "Traffic", "mean-B/s")
	is.True(ok)
	is.Equal(fit.Sizes, []float64{8, 64})
	is.True(math.Abs(fit.Slope-1) < 1e-9)
	is.True(math.Abs(fit.At(1100)-7692) < 1e-6)
	_, ok = FitLine(samples, "Size/teams=45000", "ns/op")
	is.True(!ok) // a slope needs two sizes
}

func TestReportCountsWhatIsOverAndMissing(t *testing.T) {
	is := is.New(t)
	samples := []Sample{{"Traffic", "max-B/s", 8, 100}, {"Traffic", "max-B/s", 64, 12000}}
	var text strings.Builder
	over, missing := Report(&text, samples)
	is.Equal(over, 1)
	is.Equal(missing, len(Plan)-1)
	is.True(strings.Contains(text.String(), "OVER"))
}
