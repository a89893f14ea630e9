package loadgen

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/standin"
)

// want returns the whole answer of a request, byte for byte.
func expectedAnswer(r *Request) string {
	if r.Flow.Kind == KindService {
		return string(standin.ServiceBody("POST", r.Flow.Path, []byte(r.Text)))
	}
	return strings.Join(standin.Answer(r.Flow.Target, r.Messages(), r.Flow.MaxTokens), "")
}

// compare names what is wrong with an answer that claims to be whole.
func checkAnswer(r *Request, got string) string {
	expected := expectedAnswer(r)
	switch {
	case got == expected:
		return ""
	case strings.HasPrefix(expected, got):
		return fmt.Sprintf("answer looks whole and is cut: %d of %d bytes", len(got), len(expected))
	case strings.HasPrefix(got, expected):
		return fmt.Sprintf("answer goes on after its end: %d bytes for %d", len(got), len(expected))
	}
	return fmt.Sprintf("answer is not this request's own: differs at byte %d", firstDifference(got, expected))
}

// comparePart checks the part of an answer that ended with an error.
func checkPartialAnswer(r *Request, got string) string {
	if expected := expectedAnswer(r); !strings.HasPrefix(expected, got) {
		return fmt.Sprintf("part of an answer is not this request's own: differs at byte %d", firstDifference(got, expected))
	}
	return ""
}

func firstDifference(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// typedError is the body of an error answer.
type typedError struct {
	Error *struct {
		Message      string          `json:"message"`
		Type         string          `json:"type"`
		NotRun       json.RawMessage `json:"not_run"`
		RetryAfterMS int64           `json:"retry_after_ms"`
		RequestID    string          `json:"request_id"`
	} `json:"error"`
}

// takeError reads a typed error into the outcome; false where data holds none.
func (o *Outcome) parseError(data []byte) bool {
	var body typedError
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return false
	}
	o.Kind = body.Error.Type
	o.NotRun = strings.Trim(string(body.Error.NotRun), `"`)
	o.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	if o.Kind == "" || (o.NotRun != "true" && o.NotRun != "false" && o.NotRun != "unknown") {
		o.Problem = "error is not typed: " + string(data)
	}
	return true
}
