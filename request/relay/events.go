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
// It returns only complete events, except for the last bytes of a stream that ended
// normally. Otherwise, if a server stopped in the middle of an event, a caller that resumes
// would get the beginning of that event twice.
type eventReader struct {
	from  *bufio.Reader
	event []byte
}

func (e *eventReader) reset(from io.Reader) {
	e.from = bufio.NewReaderSize(from, eventBufferBytes)
}

// next returns the next event, including the empty line that ends it. The slice is valid
// until the next call. With io.EOF it returns the bytes after the last event.
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
