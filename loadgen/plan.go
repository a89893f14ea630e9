package loadgen

import (
	"errors"
	"fmt"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Plan describes a load.
type Plan struct {
	// Seed is the seed of the arrivals. Default 1.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests arrive. Required.
	Duration settings.Duration `yaml:"duration"`
	// Grace is how long after Duration answers are awaited. Default 30s.
	Grace settings.Duration `yaml:"grace"`
	// TimedKeys makes the idempotency keys version 7 UUIDs. Default false: keys without a
	// time.
	TimedKeys bool `yaml:"timed_keys"`
	// Teams are the calling teams. Required.
	Teams []TeamShare `yaml:"teams"`
	// Flows are the kinds of requests of the load.
	Flows []Flow `yaml:"flows"`
}

// TeamShare is a team's share of the load.
type TeamShare struct {
	Name string `yaml:"name"`
	// Share is relative to the shares of the other teams. Default 1.
	Share float64 `yaml:"share"`
}

// Flow is one kind of request.
type Flow struct {
	Class string `yaml:"class"`
	// Kind is chat or service.
	Kind string `yaml:"kind"`
	// Target is the model or the service that is called.
	Target string `yaml:"target"`
	// Path is the path within the service and starts with a slash.
	Path string `yaml:"path"`
	// Rate is the average number of arrivals per second.
	Rate float64 `yaml:"rate"`
	// Bursts multiply the rate for a time.
	Bursts []Burst `yaml:"bursts"`
	// Entries are the indexes of the entries that are called. Default all.
	Entries []int `yaml:"entries"`
	// StreamShare is the share of answers that are streamed, 0 to 1.
	StreamShare float64 `yaml:"stream_share"`
	// KeyedShare is the share of requests with an Idempotency-Key, 0 to 1.
	KeyedShare float64 `yaml:"keyed_share"`
	// ResendShare is the share of keyed requests that are sent twice, 0 to 1.
	ResendShare float64 `yaml:"resend_share"`
	// ResendAfter is the time between the two sends. Default 100ms.
	ResendAfter settings.Duration `yaml:"resend_after"`
	// CancelShare is the share of streams whose caller disconnects early, 0 to 1.
	CancelShare float64 `yaml:"cancel_share"`
	// SharedWords is the length of the prompt's prefix, which is the same for a team.
	SharedWords int `yaml:"shared_words"`
	// OwnWords is the length of the rest of the prompt.
	OwnWords int `yaml:"own_words"`
	// MedianTokens is the median length of the answers.
	MedianTokens int `yaml:"median_tokens"`
	// MaxTokens is sent as max_tokens of a chat request. Default none.
	MaxTokens int `yaml:"max_tokens"`
	// Deadline is sent as the deadline of the request. Default none.
	Deadline settings.Duration `yaml:"deadline"`
	// FixedText, if set, is the text of all requests. They come from the plan's first team.
	FixedText string `yaml:"fixed_text"`
}

// Burst multiplies a rate between two times since the start.
type Burst struct {
	From   settings.Duration `yaml:"from"`
	To     settings.Duration `yaml:"to"`
	Factor float64           `yaml:"factor"`
}

// Kinds of a Flow.
const (
	KindChat    = "chat"
	KindService = "service"
)

// Validate checks the fields and sets defaults. It implements settings.Validator.
func (p *Plan) Validate() error {
	var problems []error
	addProblem := func(line int, field, format string, args ...any) {
		problems = append(problems, &settings.Problem{Line: max(line, 1), Field: field, Message: fmt.Sprintf(format, args...)})
	}
	if p.Duration.Duration <= 0 {
		addProblem(p.Duration.Line, "duration", "missing; set a duration such as 10s")
	}
	if len(p.Teams) == 0 {
		addProblem(1, "teams", "missing; list at least one team")
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
		return fmt.Sprintf("kind is %q; use chat or service", f.Kind)
	case f.Class == "" || f.Target == "":
		return "class or target is missing; set both"
	case f.Rate <= 0:
		return "rate is missing; set requests per second"
	case f.Kind == KindService && (f.Path == "" || f.Path[0] != '/'):
		return "path must start with a slash"
	}
	for _, share := range []float64{f.StreamShare, f.KeyedShare, f.ResendShare, f.CancelShare} {
		if share < 0 || share > 1 {
			return "a share is outside the range 0 to 1"
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
