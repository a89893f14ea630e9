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
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds a single event.
	maxEventBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}
)

// ErrTruncated is the error of a stream that ended without [DONE].
var ErrTruncated = fmt.Errorf("engine's stream ended without [DONE]: %w", io.ErrUnexpectedEOF)

var errEventTooLong = fmt.Errorf("engine sent an event larger than %d bytes", maxEventBytes)

// Stream reads the events of one response. It is not safe for concurrent use.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// longLine holds a line that is longer than the reader's buffer.
	longLine []byte
	// id must be part of the first chunk's id, unless idChecked is set already.
	id        string
	idChecked bool
}

func newStream(resp *http.Response) *Stream {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(resp.Body)
	return &Stream{body: resp.Body, reader: reader}
}

// CheckID returns ErrMissingID if the chunk does not belong to the stream's request. It
// checks the first chunk, and none if the response header carried the request id.
func (s *Stream) CheckID(chunk *Chunk) error {
	if s.idChecked {
		return nil
	}
	if !strings.Contains(chunk.ID, s.id) {
		return ErrMissingID
	}
	s.idChecked = true
	return nil
}

// Next returns the data of the next event, valid until the next call. The error is io.EOF
// after [DONE], and ErrTruncated if the stream ended without it.
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
		if bytes.Equal(data, doneMarker) {
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
	s.longLine = append(s.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.longLine) > maxEventBytes {
			return nil, errEventTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		s.longLine = append(s.longLine, line...)
	}
	if err == io.EOF {
		return nil, ErrTruncated
	}
	return s.longLine, err
}

// Close releases the connection. Before the end of the stream it closes the connection,
// which makes the engine cancel the request.
func (s *Stream) Close() error {
	err := s.body.Close()
	s.reader.Reset(nil)
	readerPool.Put(s.reader)
	s.reader = nil
	return err
}

// Usage holds the engine's token counts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of the completion that a chunk adds.
type Delta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Refusal   string          `json:"refusal"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// Choice is one completion of a chunk; lilacbridge requests only one.
type Choice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// Chunk holds the fields of a stream event that lilacbridge reads.
type Chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   *Usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// Empty reports whether the chunk has no token, finish reason or usage.
func (c *Chunk) Empty() bool {
	return !c.HasToken() && c.FinishReason() == "" && c.Usage == nil
}

// HasToken reports whether the chunk carries a token of the completion.
func (c *Chunk) HasToken() bool {
	if len(c.Choices) == 0 {
		return false
	}
	delta := &c.Choices[0].Delta
	return delta.Content != "" || delta.Reasoning != "" || delta.Refusal != "" || hasToolCalls(delta.ToolCalls)
}

func hasToolCalls(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("[]"))
}

// TextOnly reports whether the chunk adds only plain text. Another engine can continue such
// a completion with the text so far as prefix.
func (c *Chunk) TextOnly() bool {
	if len(c.Choices) == 0 {
		return true
	}
	delta := &c.Choices[0].Delta
	return delta.Reasoning == "" && delta.Refusal == "" && !hasToolCalls(delta.ToolCalls)
}

// FinishReason returns the finish reason of the completion; "" if it has not ended.
func (c *Chunk) FinishReason() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].FinishReason
}

// ParseChunk decodes the data of an event. An error event of the engine is returned as an
// error that wraps io.ErrUnexpectedEOF.
func ParseChunk(data []byte) (*Chunk, error) {
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, fmt.Errorf("engine sent a chunk that is not valid JSON: %w", err)
	}
	if len(chunk.Error) > 0 && !bytes.Equal(chunk.Error, []byte("null")) {
		return nil, fmt.Errorf("engine ended the stream with an error event: %w", io.ErrUnexpectedEOF)
	}
	return chunk, nil
}
