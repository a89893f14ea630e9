package caller

import (
	"bytes"
	"encoding/json"
	"strings"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// ChatFields holds the fields of a chat completions body that lilacbridge reads.
type ChatFields struct {
	Model               string        `json:"model"`
	Messages            []Message     `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       StreamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	LogProbs            bool          `json:"logprobs"`
	ContinueFinal       bool          `json:"continue_final_message"`
}

// StreamOptions holds the caller's options for a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of the conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, which callers send as a string, null or a list of
// parts.
type Content string

// UnmarshalJSON accepts each of the three forms. Parts without text are skipped.
func (c *Content) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var text *string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		if text != nil {
			*c = Content(*text)
		}
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var all strings.Builder
	for _, part := range parts {
		all.WriteString(part.Text)
	}
	*c = Content(all.String())
	return nil
}

// TokenLimit returns the caller's limit on generated tokens; 0 means none.
func (f *ChatFields) TokenLimit() int { return max(f.MaxTokens, f.MaxCompletionTokens) }

// Texts returns the text of each message, in order.
func (f *ChatFields) Texts() []string {
	texts := make([]string, len(f.Messages))
	for i := range f.Messages {
		texts[i] = string(f.Messages[i].Content)
	}
	return texts
}

// parseChat parses a body and rejects requests that lilacbridge does not support.
func parseChat(body []byte) (ChatFields, error) {
	var fields ChatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "body is not valid chat completions JSON: "+err.Error())
	}
	switch {
	case fields.Model == "":
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "body has no model; add \"model\"")
	case len(fields.Messages) == 0:
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "body has no messages; add \"messages\"")
	case fields.N != nil && *fields.N != 1:
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "only n = 1 is supported; send one request per completion")
	case fields.LogProbs:
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "logprobs is not supported, since a broken stream can't be continued with it; leave it out")
	case fields.MaxTokens < 0 || fields.MaxCompletionTokens < 0:
		return fields, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "max_tokens is negative; leave it out for no limit")
	}
	return fields, nil
}
