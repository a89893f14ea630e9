// Package pace estimates how long work takes on one backend server relative to a usual one, for
// servers that state it in their answers.
//
// A server has two paces. Its kind is lasting: what the server takes while nothing else uses its
// hardware. What it takes now also depends on neighbours that come and go within a second. Work
// that is planned ahead, such as lanes, homes and capacity, follows the kind; the choice for one
// request also uses the last report, as long as that says anything.
//
// All functions are deterministic and take the time as an argument.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// Usual is the pace of a usual server: work takes as long as usual.
const Usual = 1.0

const (
	// minReport and maxReport bound the paces that are accepted in reports. Anything else counts
	// as no report.
	minReport = 0.05
	maxReport = 50.0
	// minPace and maxPace bound the paces that are used.
	minPace = 0.2
	maxPace = 10.0
	// reportDecay is the time constant with which a report loses its meaning for the present:
	// after 50 ms it counts 88 % and the kind 12 %, after 500 ms 29 %, after 5 s nothing.
	reportDecay = 400 * time.Millisecond
	// maxGain limits by how much a server may seem faster than its kind: all instances that see
	// such a report would otherwise prefer the server.
	maxGain = 0.8
	// kindReports is the number of reports whose kindQuantile is the kind, kindSpacing the least
	// time between two of them, kindWindow their greatest age. Neighbours only lengthen the work,
	// and one lasts for less than a second.
	kindReports  = 15
	kindQuantile = 0.5
	kindSpacing  = 200 * time.Millisecond
	kindWindow   = 10 * time.Second
	// minKindReports is the number of reports that can change a known kind.
	minKindReports = 3
	// kindStep is the ratio of two neighbouring values of the kind, and kindHysteresis by how
	// many steps the estimate must differ before the kind changes. Plans that follow the kind
	// then do not change with each report, and are the same at all instances.
	kindStep       = 1.1
	kindHysteresis = 1.2
	// tellPeriod is how long after its last report an instance tells others the kind.
	tellPeriod = 3 * time.Second
	// freshReport is the age up to which a report is compared with measured times.
	freshReport = 250 * time.Millisecond
	// tolerance is the ratio of measured and reported times up to which the report is believed.
	tolerance = 1.5
	// residualStep is the step by which one measurement moves the residual, maxResidual its bound
	// in both directions.
	residualStep = 0.04
	maxResidual  = 8.0
)

// Sum adds up what instances know of a server's kind. Weight counts reports, Speed sums the fourth
// power of the speed, the inverse of the kind. High speeds weigh more since an instance with few
// reports may have seen nothing but neighbours.
type Sum struct{ Weight, Speed float64 }

// speedExponent is the power of the speeds in sums.
const speedExponent = 4

// NewSum returns the sum for so many reports of the kind.
func NewSum(reports, kind float64) Sum {
	if !(reports > 0) || !(kind > 0) {
		return Sum{}
	}
	return Sum{Weight: reports, Speed: reports * math.Pow(bound(kind), -speedExponent)}
}

// Add adds the sum of other instances.
func (s *Sum) Add(other Sum) { s.Weight, s.Speed = s.Weight+other.Weight, s.Speed+other.Speed }

// Remove takes back what was added. Without weight nothing is known.
func (s *Sum) Remove(other Sum) {
	s.Weight, s.Speed = s.Weight-other.Weight, s.Speed-other.Speed
	if s.Weight < 0.5 {
		*s = Sum{}
	}
}

// Kind returns the kind by all reports; 0 if nothing is known.
func (s Sum) Kind() float64 {
	if s.Weight <= 0 || s.Speed <= 0 {
		return 0
	}
	return math.Pow(s.Speed/s.Weight, -1.0/speedExponent)
}

type report struct {
	pace float64
	at   time.Time
}

// Server is what one instance knows of a server's pace. The zero value knows nothing.
type Server struct {
	// window holds the reports that the kind is estimated from, count how many were put there.
	window [kindReports]report
	count  int
	last   report
	others Sum
	// step is the exponent of the kind, in steps of kindStep; known is true once it is set.
	step  int
	known bool
	// residual is the moving median of measured times relative to reported ones, less 1.
	residual float64
}

// Report records the pace that the server stated at the given time and reports whether it is
// plausible.
func (s *Server) Report(at time.Time, pace float64) bool {
	if !(pace >= minReport && pace <= maxReport) || at.Before(s.last.at) {
		return false
	}
	s.last = report{bound(pace), at}
	newest := s.window[(s.count+kindReports-1)%kindReports].at
	if s.count == 0 || at.Sub(newest) >= kindSpacing {
		s.window[s.count%kindReports] = s.last
		s.count++
	}
	s.updateKind()
	return true
}

// SetOthers replaces what other instances know of the server. An empty sum leaves the kind as it
// was last known.
func (s *Server) SetOthers(others Sum) {
	s.others = others
	s.updateKind()
}

// Own returns what this instance tells others.
func (s *Server) Own(now time.Time) Sum {
	if !s.HasReport() || now.Sub(s.last.at) > tellPeriod {
		return Sum{}
	}
	return s.own()
}

// Observe records how long work took relative to a usual server. If that contradicts fresh
// reports again and again, the reports are corrected.
func (s *Server) Observe(now time.Time, measured float64) {
	if !s.HasReport() || now.Sub(s.last.at) > freshReport || !(measured > 0) {
		return
	}
	ratio := 1 + s.residual
	if measured > s.last.pace*ratio {
		ratio *= 1 + residualStep
	} else {
		ratio /= 1 + residualStep
	}
	s.residual = min(max(ratio, 1/maxResidual), maxResidual) - 1
}

// Forget drops everything this instance knows, for a server that was replaced under the same name.
func (s *Server) Forget() { *s = Server{} }

// Known reports whether any instance has learned the server's kind.
func (s *Server) Known() bool { return s.known }

// HasReport reports whether the server has stated its pace to this instance.
func (s *Server) HasReport() bool { return s.count > 0 }

// Reported returns the last report as it was stated, and its age; a negative age for none.
func (s *Server) Reported(now time.Time) (pace float64, age time.Duration) {
	if !s.HasReport() {
		return 0, -time.Millisecond
	}
	return s.last.pace, max(now.Sub(s.last.at), 0)
}

// LastReport returns the last report; 0 for none.
func (s *Server) LastReport() float64 { return s.last.pace }

// Kind returns the lasting pace.
func (s *Server) Kind() float64 {
	if !s.known {
		return Usual
	}
	return bound(math.Pow(kindStep, float64(s.step)))
}

// Now returns the expected pace at the given time: the last report, fading to the kind.
func (s *Server) Now(now time.Time) float64 {
	kind := s.Kind()
	if !s.HasReport() {
		return kind
	}
	age := max(now.Sub(s.last.at), 0)
	reported := max(s.last.pace*s.correction(), maxGain*kind)
	return bound(kind + (reported-kind)*math.Exp(-age.Seconds()/reportDecay.Seconds()))
}

// Residual returns the measured times relative to the reported ones.
func (s *Server) Residual() float64 { return 1 + s.residual }

// correction returns the factor that corrects reports which measured times contradict by more
// than the tolerance; the rest is left to the learned speed of the server.
func (s *Server) correction() float64 {
	switch ratio := s.Residual(); {
	case ratio > tolerance:
		return ratio / tolerance
	case ratio < 1/tolerance:
		return ratio * tolerance
	}
	return 1
}

// own returns the kind by the reports in the window.
func (s *Server) own() Sum {
	var paces [kindReports]float64
	n := 0
	for _, r := range s.window[:min(s.count, kindReports)] {
		if s.last.at.Sub(r.at) <= kindWindow {
			paces[n] = r.pace
			n++
		}
	}
	if n == 0 {
		return Sum{}
	}
	slices.Sort(paces[:n])
	return NewSum(float64(n), paces[number.Int(kindQuantile*float64(n-1))]*s.correction())
}

func (s *Server) updateKind() {
	sum := s.own()
	sum.Add(s.others)
	kind := sum.Kind()
	if !(kind > 0) || s.known && sum.Weight < minKindReports {
		return
	}
	exact := math.Log(bound(kind)) / math.Log(kindStep)
	if !s.known || math.Abs(exact-float64(s.step)) > kindHysteresis {
		s.step, s.known = number.Int(math.Round(exact)), true
	}
}

func bound(pace float64) float64 { return min(max(pace, minPace), maxPace) }

// Weight returns the share of work that suits a server of the pace, relative to a usual one.
func Weight(pace float64) float64 { return Usual / bound(pace) }

// Rank returns the rank of a server by weighted rendezvous hashing: each key goes to a server with
// a probability in proportion to its weight, and a change of one weight moves only keys from or
// to that server.
func Rank(hash uint64, weight float64) uint64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Float64bits(weight / -math.Log(uniform))
}
