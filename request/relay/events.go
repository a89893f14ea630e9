package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// eventBufferBytes is the size of the read buffer; events typically have a few hundred
	// bytes.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.New("stream event exceeds the size limit of 1 MiB")

// eventReader splits a stream into its events without changing a byte.
//
// It returns only complete events, and blank lines and comments after the last one. Otherwise,
// if a server stopped in the middle of an event, a caller that resumes would get the beginning
// of that event twice.
type eventReader struct {
	from  *bufio.Reader
	event []byte
}

func (e *eventReader) reset(from io.Reader) {
	e.from = bufio.NewReaderSize(from, eventBufferBytes)
}

// next returns the next event, including the empty line that ends it. The slice is valid
// until the next call. With io.EOF it returns the bytes after the last event. The error is
// io.ErrUnexpectedEOF if the stream ended inside an event.
func (e *eventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.from.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.event) > maxEventBytes {
				return nil, errEventTooLarge
			}
			continue
		case err == io.EOF && endsInsideEvent(e.event):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return e.event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.event) > len(line) {
			return e.event, nil
		}
		if len(e.event) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}

// endsInsideEvent reports whether the last lines of a stream hold more than blank lines and
// comments, without the empty line that ends an event.
func endsInsideEvent(lines []byte) bool {
	if bytes.IndexByte(lines, '\n') < 0 {
		// The stream ends its lines with carriage returns alone.
		lines = bytes.ReplaceAll(lines, []byte("\r"), []byte("\n"))
	}
	lines = bytes.ReplaceAll(lines, []byte("\r\n"), []byte("\n"))
	if end := bytes.LastIndex(lines, []byte("\n\n")); end >= 0 {
		lines = lines[end+len("\n\n"):]
	}
	for line := range bytes.Lines(lines) {
		if line[len(line)-1] != '\n' || len(line) > 1 && line[0] != ':' {
			return true
		}
	}
	return false
}
