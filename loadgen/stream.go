package loadgen

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

const doneMarker = "[DONE]"

// readStream reads server-sent events up to [DONE], a typed error or the end of the body.
func readStream(call *streamContext, o *Outcome, body io.Reader, start time.Time) {
	o.Streamed = true
	var text strings.Builder
	last := start
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			finishInterrupted(call, o, text.String(), err)
			return
		}
		data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == doneMarker {
			o.Problem = checkAnswer(o.Request, text.String())
			return
		}
		if o.parseError([]byte(data)) {
			finishWithError(o, reader, text.String())
			return
		}
		content, ok := chunkContent(data)
		if !ok {
			o.Problem = "event is not a chunk: " + data
			return
		}
		if content == "" {
			continue
		}
		now := time.Now()
		o.recordToken(now, start, last)
		last = now
		text.WriteString(content)
		if o.Request.CancelAfter > 0 && o.Tokens >= o.Request.CancelAfter {
			o.Canceled = true
			call.disconnect()
			return
		}
	}
}

func (o *Outcome) recordToken(now, start, last time.Time) {
	o.Tokens++
	if o.Tokens == 1 {
		o.FirstToken = now.Sub(start)
		return
	}
	o.Gaps = append(o.Gaps, now.Sub(last))
}

func chunkContent(data string) (string, bool) {
	var event chunk
	if json.Unmarshal([]byte(data), &event) != nil {
		return "", false
	}
	if len(event.Choices) == 0 {
		return "", true
	}
	return event.Choices[0].Delta.Content, true
}

// finishWithError checks that a stream that ended with an error does not look complete.
func finishWithError(o *Outcome, rest io.Reader, text string) {
	if o.Problem == "" {
		o.Problem = checkPartialAnswer(o.Request, text)
	}
	tail, _ := io.ReadAll(rest)
	if strings.Contains(string(tail), doneMarker) {
		o.Problem = "stream ends with an error and with " + doneMarker
	}
}

// finishInterrupted classifies a stream that ended without [DONE] and without a typed error.
func finishInterrupted(call *streamContext, o *Outcome, text string, err error) {
	o.Problem = checkPartialAnswer(o.Request, text)
	if err == io.EOF {
		o.Kind = KindInterrupted
		if o.Problem == "" {
			o.Problem = "stream ends without " + doneMarker + " and without an error"
		}
		return
	}
	o.Kind = transportErrorKind(call, err)
}
