package relay

import (
	"encoding/json"
	"fmt"

	"github.com/lilacbridge/lilacbridge/connection/caller"
)

type fields map[string]json.RawMessage

func (f fields) set(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("field %s: %w", key, err)
	}
	f[key] = raw
	return nil
}

type prefixMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// engineBody returns the request body for an engine. It always requests a stream. If part of
// the answer was already received, prefix is that part and tokens its length; the engine is
// asked to continue it.
func engineBody(q *caller.Chat, prefix string, tokens int) ([]byte, error) {
	if q.Stream && prefix == "" {
		return q.Body, nil
	}
	var body fields
	if err := json.Unmarshal(q.Body, &body); err != nil {
		return nil, err
	}
	if !q.Stream {
		if err := body.set("stream", true); err != nil {
			return nil, err
		}
		if err := body.set("stream_options", caller.StreamOptions{IncludeUsage: true}); err != nil {
			return nil, err
		}
	}
	if prefix != "" {
		if err := body.addPrefix(q, prefix, tokens); err != nil {
			return nil, err
		}
	}
	return json.Marshal(body)
}

func (f fields) addPrefix(q *caller.Chat, prefix string, tokens int) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(f["messages"], &messages); err != nil {
		return err
	}
	last := len(messages) - 1
	if q.ContinueFinal {
		// The caller's last message is itself the beginning of the answer.
		prefix = string(q.Messages[last].Content) + prefix
		messages = messages[:last]
	}
	raw, err := json.Marshal(prefixMessage{Role: "assistant", Content: prefix})
	if err != nil {
		return err
	}
	if err := f.set("messages", append(messages, raw)); err != nil {
		return err
	}
	if err := f.set("continue_final_message", true); err != nil {
		return err
	}
	if err := f.set("add_generation_prompt", false); err != nil {
		return err
	}
	return f.reduceTokenLimits(q, tokens)
}

// reduceTokenLimits subtracts the tokens generated so far from the caller's limits.
func (f fields) reduceTokenLimits(q *caller.Chat, tokens int) error {
	if q.MaxTokens > 0 {
		if err := f.set("max_tokens", max(q.MaxTokens-tokens, 1)); err != nil {
			return err
		}
	}
	if q.MaxCompletionTokens > 0 {
		return f.set("max_completion_tokens", max(q.MaxCompletionTokens-tokens, 1))
	}
	return nil
}
