package loadgen

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/standin"
)

// expectedAnswer returns the complete answer to a request.
func expectedAnswer(r *Request) string {
	if r.Flow.Kind == KindService {
		return string(standin.ServiceBody("POST", r.Flow.Path, []byte(r.Text)))
	}
	return strings.Join(standin.Answer(r.Flow.Target, r.Messages(), r.Flow.MaxTokens), "")
}

// checkAnswer describes what is wrong with an answer that claims to be complete, or
// returns "".
func checkAnswer(r *Request, got string) string {
	expected := expectedAnswer(r)
	switch {
	case got == expected:
		return ""
	case strings.HasPrefix(expected, got):
		return fmt.Sprintf("answer looks complete but is truncated: %d of %d bytes", len(got), len(expected))
	case strings.HasPrefix(got, expected):
		return fmt.Sprintf("answer continues after its end: %d bytes instead of %d", len(got), len(expected))
	}
	return fmt.Sprintf("answer does not belong to this request: differs at byte %d", firstDifference(got, expected))
}

// checkPartialAnswer checks the part of an answer that was received before an error.
func checkPartialAnswer(r *Request, got string) string {
	if expected := expectedAnswer(r); !strings.HasPrefix(expected, got) {
		return fmt.Sprintf("partial answer does not belong to this request: differs at byte %d", firstDifference(got, expected))
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

// typedError is the body of an error response.
type typedError struct {
	Error *struct {
		Message      string          `json:"message"`
		Type         string          `json:"type"`
		NotRun       json.RawMessage `json:"not_run"`
		RetryAfterMS int64           `json:"retry_after_ms"`
		RequestID    string          `json:"request_id"`
	} `json:"error"`
}

// parseError decodes a typed error into the outcome. It returns false if data contains none.
func (o *Outcome) parseError(data []byte) bool {
	var body typedError
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return false
	}
	o.Kind = body.Error.Type
	o.NotRun = strings.Trim(string(body.Error.NotRun), `"`)
	o.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	if o.Kind == "" || (o.NotRun != "true" && o.NotRun != "false" && o.NotRun != "unknown") {
		o.Problem = "error has no type: " + string(data)
	}
	return true
}
