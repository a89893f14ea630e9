package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/standin"
)

const (
	defaultGrace       = 30 * time.Second
	defaultResendAfter = 100 * time.Millisecond
	// cancelAfterTokens is the number of tokens after which a canceling caller disconnects.
	cancelAfterTokens = 5
)

// Request is a request of a caller. It may be sent more than once.
type Request struct {
	// Ref identifies the request in its prompt or body.
	Ref    string
	At     time.Duration
	Flow   *Flow
	Team   string
	Stream bool
	// Key is the Idempotency-Key, or "".
	Key string
	// Sends has at least one element.
	Sends []Send
	// CancelAfter is the number of tokens after which the caller disconnects; 0 means never.
	CancelAfter int
	Text        string
}

// Send is one transmission of a request.
type Send struct {
	// At is relative to the start of the load.
	At time.Duration
	// Entry is the index of the entry to which it is sent first.
	Entry int
}

// Messages returns the conversation of a chat request.
func (r *Request) Messages() []standin.Message {
	return []standin.Message{{Role: "user", Content: standin.Content(r.Text)}}
}

// Arrivals returns the requests of the plan in order of arrival. entries is the number of
// entries of the fleet.
func Arrivals(plan *Plan, entries int) []*Request {
	var requests []*Request
	for i := range plan.Flows {
		flow := &plan.Flows[i]
		source := &arrivalSource{
			plan:    plan,
			flow:    flow,
			index:   i,
			random:  rand.New(rand.NewPCG(plan.Seed, uint64(i))),
			entries: flow.usableEntries(entries),
		}
		requests = append(requests, source.generate()...)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	return requests
}

func (f *Flow) usableEntries(entries int) []int {
	var usable []int
	for _, entry := range f.Entries {
		if entry >= 0 && entry < entries {
			usable = append(usable, entry)
		}
	}
	for entry := 0; len(f.Entries) == 0 && entry < entries; entry++ {
		usable = append(usable, entry)
	}
	return usable
}

// rateAt returns the rate per second and the time of its next change.
func (f *Flow) rateAt(at, end time.Duration) (rate float64, nextChange time.Duration) {
	rate, nextChange = f.Rate, end
	for _, burst := range f.Bursts {
		for _, boundary := range []time.Duration{burst.From.Duration, burst.To.Duration} {
			if boundary > at && boundary < nextChange {
				nextChange = boundary
			}
		}
		if at >= burst.From.Duration && at < burst.To.Duration {
			rate *= burst.Factor
		}
	}
	return rate, nextChange
}

// arrivalSource draws the arrivals of one flow, a Poisson process.
type arrivalSource struct {
	plan    *Plan
	flow    *Flow
	index   int
	random  *rand.Rand
	entries []int
}

func (s *arrivalSource) generate() []*Request {
	var requests []*Request
	end := s.plan.Duration.Duration
	for at := time.Duration(0); at < end && len(s.entries) > 0; {
		rate, nextChange := s.flow.rateAt(at, end)
		if rate <= 0 {
			at = nextChange
			continue
		}
		next := at + number.Seconds(s.random.ExpFloat64()/rate)
		// A Poisson process is memoryless, so a draw beyond a change of rate can be
		// repeated from the time of that change.
		if next >= nextChange {
			at = nextChange
			continue
		}
		at = next
		requests = append(requests, s.request(at, len(requests)))
	}
	return requests
}

func (s *arrivalSource) request(at time.Duration, number int) *Request {
	flow := s.flow
	r := &Request{
		Ref:    fmt.Sprintf("%d-%d-%d", s.plan.Seed, s.index, number),
		At:     at,
		Flow:   flow,
		Team:   s.pickTeam(),
		Stream: flow.Kind == KindChat && s.random.Float64() < flow.StreamShare,
		Sends:  []Send{{At: at, Entry: s.pickEntry()}},
	}
	keyed := s.random.Float64() < flow.KeyedShare
	resent := s.random.Float64() < flow.ResendShare
	canceled := s.random.Float64() < flow.CancelShare
	if keyed {
		r.Key = "key-" + r.Ref
	}
	if keyed && resent {
		r.Sends = append(r.Sends, Send{At: at + flow.ResendAfter.Duration, Entry: s.pickEntry()})
	}
	if canceled && r.Stream && !keyed {
		r.CancelAfter = cancelAfterTokens
	}
	r.Text = s.requestText(r)
	return r
}

func (s *arrivalSource) pickEntry() int { return s.entries[s.random.IntN(len(s.entries))] }

func (s *arrivalSource) pickTeam() string {
	if s.flow.FixedText != "" {
		return s.plan.Teams[0].Name
	}
	sum := 0.0
	for _, team := range s.plan.Teams {
		sum += team.Share
	}
	draw := s.random.Float64() * sum
	for _, team := range s.plan.Teams {
		draw -= team.Share
		if draw < 0 {
			return team.Name
		}
	}
	return s.plan.Teams[len(s.plan.Teams)-1].Name
}

func (s *arrivalSource) requestText(r *Request) string {
	if s.flow.FixedText != "" {
		return s.flow.FixedText
	}
	var words []string
	for i := range s.flow.SharedWords {
		words = append(words, fmt.Sprintf("%s%d", r.Team, i))
	}
	words = append(words, standin.RefPrefix+r.Ref)
	if s.flow.MedianTokens > 0 {
		words = append(words, fmt.Sprintf("%s%d", standin.MedianPrefix, s.flow.MedianTokens))
	}
	for range s.flow.OwnWords {
		words = append(words, fmt.Sprintf("w%d", s.random.IntN(10000)))
	}
	return strings.Join(words, " ")
}
