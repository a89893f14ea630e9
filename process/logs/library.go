package logs

import (
	"bytes"
	"io"
	"log"

	"github.com/hashicorp/go-hclog"
)

// maxLibraryBytes bounds the part of a library's message that is logged.
const maxLibraryBytes = 200

// RedirectStandard makes the standard library's logger write to logger at debug level, up to the
// rate limit of failures. Libraries quote what other processes have sent; a message is cut at its
// first quote.
func RedirectStandard(logger hclog.Logger) {
	log.SetFlags(0)
	log.SetOutput(NewLibraryWriter(logger))
}

// NewLibraryWriter returns the writer of RedirectStandard.
func NewLibraryWriter(logger hclog.Logger) io.Writer { return libraryWriter{New(logger)} }

type libraryWriter struct{ log *Log }

// Write implements io.Writer. It takes one message.
func (w libraryWriter) Write(message []byte) (int, error) {
	text, _, _ := bytes.Cut(message, []byte{'"'})
	text = bytes.TrimSpace(text[:min(len(text), maxLibraryBytes)])
	if _, ok := w.log.take(Failure); ok {
		w.log.logger.Debug("message of a library", "text", string(text))
	}
	return len(message), nil
}
