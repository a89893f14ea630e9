package loadgen

import (
	"errors"
	"fmt"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Plan is the load: what arrives, from whom and how often.
type Plan struct {
	// Seed of the arrivals. Default 1.
	Seed uint64 `yaml:"seed"`
	// Duration of the arrivals; answers may come later. No default.
	Duration settings.Duration `yaml:"duration"`
	// Grace is how long after the last arrival an answer may still come. Default 30s.
	Grace settings.Duration `yaml:"grace"`
	// TimedKeys makes the keys UUIDs of version 7. Default false: keys without a time.
	TimedKeys bool `yaml:"timed_keys"`
	// Teams that call, with their shares of the load.
	Teams []TeamShare `yaml:"teams"`
	// Flows are the kinds of requests.
	Flows []Flow `yaml:"flows"`
}

// TeamShare is a team's share of the load.
type TeamShare struct {
	Name string `yaml:"name"`
	// Share relative to the other teams' shares. Default 1.
	Share float64 `yaml:"share"`
}

// Flow is one kind of request.
type Flow struct {
	Class string `yaml:"class"`
	// Kind is chat or service.
	Kind string `yaml:"kind"`
	// Target is the model or the service that is called.
	Target string `yaml:"target"`
	// Path within the service, beginning with a slash.
	Path string `yaml:"path"`
	// Rate of arrivals, a second, on average.
	Rate float64 `yaml:"rate"`
	// Bursts multiply the rate for a time.
	Bursts []Burst `yaml:"bursts"`
	// Entries are the indexes of the entries that it calls. Default all.
	Entries []int `yaml:"entries"`
	// StreamShare is the share of answers that are streamed, 0 to 1.
	StreamShare float64 `yaml:"stream_share"`
	// KeyedShare is the share that carries an Idempotency-Key, 0 to 1.
	KeyedShare float64 `yaml:"keyed_share"`
	// ResendShare is the share of keyed requests sent once more, 0 to 1.
	ResendShare float64 `yaml:"resend_share"`
	// ResendAfter is the time until then. Default 100ms.
	ResendAfter settings.Duration `yaml:"resend_after"`
	// CancelShare is the share of streams whose caller leaves after a few tokens.
	CancelShare float64 `yaml:"cancel_share"`
	// SharedWords begin the prompt and are the same for a team.
	SharedWords int `yaml:"shared_words"`
	// OwnWords end the prompt.
	OwnWords int `yaml:"own_words"`
	// MedianTokens is the median length of the answers.
	MedianTokens int `yaml:"median_tokens"`
	// MaxTokens is sent as the caller's bound. Default none.
	MaxTokens int `yaml:"max_tokens"`
	// Deadline is sent as the caller's deadline. Default none.
	Deadline settings.Duration `yaml:"deadline"`
	// FixedText makes all requests of the flow the same, from one team.
	FixedText string `yaml:"fixed_text"`
}

// Burst multiplies a rate between two times since the start.
type Burst struct {
	From   settings.Duration `yaml:"from"`
	To     settings.Duration `yaml:"to"`
	Factor float64           `yaml:"factor"`
}

// The kinds of a Flow.
const (
	KindChat    = "chat"
	KindService = "service"
)

// Validate checks the fields and fills in defaults.
func (p *Plan) Validate() error {
	var problems []error
	addProblem := func(line int, field, format string, args ...any) {
		problems = append(problems, &settings.Problem{Line: max(line, 1), Field: field, Message: fmt.Sprintf(format, args...)})
	}
	if p.Duration.Duration <= 0 {
		addProblem(p.Duration.Line, "duration", "missing; write one such as 10s")
	}
	if len(p.Teams) == 0 {
		addProblem(1, "teams", "missing; name at least one team")
	}
	for i := range p.Flows {
		if problem := p.Flows[i].problem(); problem != "" {
			addProblem(1, fmt.Sprintf("flows[%d]", i), "%s", problem)
		}
	}
	p.setDefaults()
	return errors.Join(problems...)
}

func (f *Flow) problem() string {
	switch {
	case f.Kind != KindChat && f.Kind != KindService:
		return fmt.Sprintf("kind is %q; write chat or service", f.Kind)
	case f.Class == "" || f.Target == "":
		return "class or target is missing; write both"
	case f.Rate <= 0:
		return "rate is missing; write requests a second"
	case f.Kind == KindService && (f.Path == "" || f.Path[0] != '/'):
		return "path must begin with a slash"
	}
	for _, share := range []float64{f.StreamShare, f.KeyedShare, f.ResendShare, f.CancelShare} {
		if share < 0 || share > 1 {
			return "a share lies outside 0 to 1"
		}
	}
	return ""
}

func (p *Plan) setDefaults() {
	if p.Seed == 0 {
		p.Seed = 1
	}
	p.Grace.Duration = p.Grace.Or(defaultGrace)
	for i := range p.Teams {
		if p.Teams[i].Share == 0 {
			p.Teams[i].Share = 1
		}
	}
	for i := range p.Flows {
		p.Flows[i].ResendAfter.Duration = p.Flows[i].ResendAfter.Or(defaultResendAfter)
	}
}
