package standin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// created is a constant, since answers are pure functions of their requests.
const created = 1700000000

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s *sequence) finishReason() *string {
	reason := "stop"
	if s.truncated {
		reason = "length"
	}
	return &reason
}

func (s *sequence) usage() *usage {
	return &usage{PromptTokens: len(s.words), CompletionTokens: len(s.tokens), TotalTokens: len(s.words) + len(s.tokens)}
}

// writeStream writes an event for each token after the first sent ones. The last event
// carries the finish reason.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *sequence, sent int, withUsage bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		generated, done, canceled, changed := e.progress(s)
		for ; sent < len(generated); sent++ {
			e.injectBreak(sent)
			writeEvent(w, s.chunk(sent, done && sent == len(s.tokens)-1))
			flush(w)
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	if len(s.tokens) == 0 {
		writeEvent(w, s.chunk(-1, true))
	}
	if withUsage {
		writeEvent(w, completion{ID: s.id, Object: "chat.completion.chunk", Created: created, Model: s.model, Choices: []choice{}, Usage: s.usage()})
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	flush(w)
}

// injectBreak closes the connection once the number of tokens of the BreakAfter fault is
// reached.
func (e *Engine) injectBreak(sent int) {
	e.mu.Lock()
	after := e.fault.BreakAfter
	e.mu.Unlock()
	if after > 0 && sent >= after {
		panic(http.ErrAbortHandler)
	}
}

func (s *sequence) chunk(i int, last bool) completion {
	part := choice{Delta: &delta{}}
	if i >= 0 {
		part.Delta.Content = s.tokens[i]
	}
	if i == 0 {
		part.Delta.Role = "assistant"
	}
	if last {
		part.FinishReason = s.finishReason()
	}
	return completion{ID: s.id, Object: "chat.completion.chunk", Created: created, Model: s.model, Choices: []choice{part}}
}

func writeEvent(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// writeCompletion waits for all tokens and writes a single response.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *sequence) {
	for {
		generated, done, canceled, changed := e.progress(s)
		e.injectBreak(len(generated))
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	text := strings.Join(s.tokens, "")
	answer := choice{Message: &delta{Role: "assistant", Content: text}, FinishReason: s.finishReason()}
	writeJSON(w, completion{ID: s.id, Object: "chat.completion", Created: created, Model: s.model, Choices: []choice{answer}, Usage: s.usage()})
}
