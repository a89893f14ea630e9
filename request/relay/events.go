package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// eventBufferBytes is the read buffer of a stream; events have some hundred bytes.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.New("an event of the stream is larger than the gateway holds")

// eventReader splits a stream into its events, byte for byte.
//
// It guards against a server that stops in the middle of an event: a caller that
// resumes would get the beginning of that event twice. It holds because only
// whole events are given out, but for the last bytes of a stream that ended well.
type eventReader struct {
	from  *bufio.Reader
	event []byte
}

func (e *eventReader) reset(from io.Reader) {
	e.from = bufio.NewReaderSize(from, eventBufferBytes)
}

// next returns the next event with the empty line that ends it; valid until the
// next call. With io.EOF come the bytes after the last event.
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
