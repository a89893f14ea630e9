package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	streamBuffer = 4 << 10
	// maxEvent is the largest single event, in bytes.
	maxEvent = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	readers    = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBuffer) }}
)

// ErrTruncated is the error of a stream that ended without its closing event.
var ErrTruncated = fmt.Errorf("engine's stream ended in the middle: %w", io.ErrUnexpectedEOF)

var errTooLong = fmt.Errorf("engine sent an event of more than %d bytes", maxEvent)

// Stream reads the events of one answer. It is used by one goroutine.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	long   []byte
	// id is what an unbound stream's chunks must name.
	id    string
	bound bool
}

func newStream(resp *http.Response) *Stream {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(resp.Body)
	return &Stream{body: resp.Body, reader: reader}
}

// CheckID tells whether the chunk belongs to the stream's request. The first
// chunk settles it where the answer's header did not.
func (s *Stream) CheckID(chunk *Chunk) error {
	if s.bound {
		return nil
	}
	if !strings.Contains(chunk.ID, s.id) {
		return ErrMissingID
	}
	s.bound = true
	return nil
}

// Next returns the data of the next event, valid until the next call: io.EOF
// after the closing event, ErrTruncated where the stream ended without one.
func (s *Stream) Next() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, io.EOF
		}
		return data, nil
	}
}

func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	s.long = append(s.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.long) > maxEvent {
			return nil, errTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		s.long = append(s.long, line...)
	}
	if err == io.EOF {
		return nil, ErrTruncated
	}
	return s.long, err
}

// Close frees the connection; before the end of the stream it closes it, which
// also cancels the answer at the engine.
func (s *Stream) Close() error {
	err := s.body.Close()
	s.reader.Reset(nil)
	readers.Put(s.reader)
	s.reader = nil
	return err
}

// Usage is the engine's count of tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is what one chunk adds to the answer.
type Delta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Refusal   string          `json:"refusal"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// Choice is one answer of a chunk; lilacbridge asks for one.
type Choice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// Chunk is one event of an answer, as far as lilacbridge reads it.
type Chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   *Usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// Empty tells whether the chunk adds nothing to the text and does not end it.
func (c *Chunk) Empty() bool {
	return !c.HasToken() && c.FinishReason() == "" && c.Usage == nil
}

// HasToken tells whether the chunk carries a token of the answer.
func (c *Chunk) HasToken() bool {
	if len(c.Choices) == 0 {
		return false
	}
	delta := &c.Choices[0].Delta
	return delta.Content != "" || delta.Reasoning != "" || delta.Refusal != "" || hasCalls(delta.ToolCalls)
}

func hasCalls(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("[]"))
}

// TextOnly tells whether the chunk holds nothing but text, which a prefix can carry on.
func (c *Chunk) TextOnly() bool {
	if len(c.Choices) == 0 {
		return true
	}
	delta := &c.Choices[0].Delta
	return delta.Reasoning == "" && delta.Refusal == "" && !hasCalls(delta.ToolCalls)
}

// FinishReason returns why the answer ended; "" where it goes on.
func (c *Chunk) FinishReason() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].FinishReason
}

// ParseChunk decodes an event's data.
func ParseChunk(data []byte) (*Chunk, error) {
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, fmt.Errorf("engine sent a chunk that is no JSON: %w", err)
	}
	if len(chunk.Error) > 0 && !bytes.Equal(chunk.Error, []byte("null")) {
		return nil, fmt.Errorf("engine broke off with an error of its own: %w", io.ErrUnexpectedEOF)
	}
	return chunk, nil
}
