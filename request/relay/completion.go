package relay

import (
	"encoding/json"
	"strings"

	"github.com/lilacbridge/lilacbridge/connection/engine"
)

const (
	idPrefix     = "chatcmpl-"
	reasonLength = "length"
)

// completion accumulates one answer over all its attempts.
type completion struct {
	id      string
	created int64
	model   string
	text    strings.Builder
	// tokens is the number of chunks with a token.
	tokens int
	// base is the number of answer tokens that the current attempt has as part of its
	// prompt.
	base int
	// plain is false once the answer has content, such as tool calls, that can't be
	// continued from a text prefix.
	plain     bool
	reasoning strings.Builder
	refusal   strings.Builder
	calls     []toolCall
	finish    string
	usage     *engine.Usage
	// promptTokens is this instance's estimate, for answers without usage from the
	// engine.
	promptTokens int
}

func newCompletion(requestID string, promptTokens int) *completion {
	return &completion{id: idPrefix + requestID, plain: true, promptTokens: promptTokens}
}

type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// add appends a chunk.
func (c *completion) add(chunk *engine.Chunk) error {
	if c.created == 0 {
		c.created, c.model = chunk.Created, chunk.Model
	}
	if chunk.Usage != nil {
		c.addUsage(*chunk.Usage)
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	if chunk.HasToken() {
		c.tokens++
	}
	if reason := chunk.FinishReason(); reason != "" {
		c.finish = reason
	}
	delta := &chunk.Choices[0].Delta
	c.text.WriteString(delta.Content)
	if chunk.TextOnly() {
		return nil
	}
	c.plain = false
	c.reasoning.WriteString(delta.Reasoning)
	c.refusal.WriteString(delta.Refusal)
	return c.addCalls(delta.ToolCalls)
}

// addUsage records the usage of an attempt. Answer tokens that it had as part of its prompt
// are counted as completion tokens.
func (c *completion) addUsage(usage engine.Usage) {
	usage.PromptTokens -= c.base
	usage.CompletionTokens += c.base
	c.usage = &usage
}

func (c *completion) addCalls(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	var parts []toolCall
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		call := c.toolCallAt(part.Index)
		call.ID += part.ID
		if part.Type != "" {
			call.Type = part.Type
		}
		call.Function.Name += part.Function.Name
		call.Function.Arguments += part.Function.Arguments
	}
	return nil
}

func (c *completion) toolCallAt(index int) *toolCall {
	for i := range c.calls {
		if c.calls[i].Index == index {
			return &c.calls[i]
		}
	}
	c.calls = append(c.calls, toolCall{Index: index})
	return &c.calls[len(c.calls)-1]
}

// finalUsage returns the engine's usage, or one derived from the tokens received.
func (c *completion) finalUsage() *engine.Usage {
	if c.usage != nil {
		return c.usage
	}
	return &engine.Usage{PromptTokens: c.promptTokens, CompletionTokens: c.tokens, TotalTokens: c.promptTokens + c.tokens}
}

type responseMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type responseChoice struct {
	Index        int             `json:"index"`
	Message      responseMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
	LogProbs     *struct{}       `json:"logprobs"`
}

type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *engine.Usage    `json:"usage"`
}

// response returns the complete answer as one JSON object.
func (c *completion) response() ([]byte, error) {
	message := responseMessage{Role: "assistant", Reasoning: c.reasoning.String(), ToolCalls: c.calls}
	if text := c.text.String(); text != "" || len(c.calls) == 0 {
		message.Content = &text
	}
	if refusal := c.refusal.String(); refusal != "" {
		message.Refusal = &refusal
	}
	return json.Marshal(completionResponse{
		ID: c.id, Object: "chat.completion", Created: c.created, Model: c.model, Usage: c.finalUsage(),
		Choices: []responseChoice{{Message: message, FinishReason: c.finish}},
	})
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type completionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

func (c *completion) chunkJSON(choices []chunkChoice, usage *engine.Usage) []byte {
	data, _ := json.Marshal(completionChunk{
		ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.model, Choices: choices, Usage: usage,
	})
	return data
}

// textChunk returns the event data of a chunk without the role, which the caller already
// received from an earlier attempt.
func (c *completion) textChunk(content, finish string) []byte {
	choice := chunkChoice{Delta: chunkDelta{Content: content}}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return c.chunkJSON([]chunkChoice{choice}, nil)
}

func (c *completion) usageChunk() []byte { return c.chunkJSON([]chunkChoice{}, c.finalUsage()) }
