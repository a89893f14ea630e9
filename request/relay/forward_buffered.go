package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// maxForwardBuffer is the size of the largest answer, in bytes. Answers that are not event
// streams are read completely before the first byte is sent, so that an interrupted one can
// be retried.
const maxForwardBuffer = 8 << 20

// errAnswerTooLarge is returned for an answer above maxForwardBuffer.
var errAnswerTooLarge = errors.New("answer exceeds the size limit of 8 MiB")

// bufferedAnswer is a backend server's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// framing and length are those of the server's response; length is -1 if it stated none.
	framing upstream.Framing
	length  int64
}

// forwardBuffered reads the complete answer before it sends the first byte.
func (j *forwardJob) forwardBuffered(resp *gateway.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardBuffer+1))
	if err != nil {
		return err
	}
	j.reportRun()
	if len(body) > maxForwardBuffer {
		return errAnswerTooLarge
	}
	buffered := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body, framing: j.req.framing, length: resp.ContentLength}
	if resp.StatusCode >= http.StatusInternalServerError && !j.rw.HeaderWritten() {
		j.failedAnswer = buffered
		return errServerFailed
	}
	if j.rw.HeaderWritten() {
		// A resumed stream was answered with something other than a stream.
		return errors.New("backend server answered " + strconv.Itoa(resp.StatusCode) + " instead of a resumed stream")
	}
	return j.writeBuffered(buffered)
}

// writeBuffered sends a buffered answer to the caller unchanged.
func (j *forwardJob) writeBuffered(buffered *bufferedAnswer) error {
	j.req.record.Answered()
	j.reportTokens(1)
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), buffered.header)
	length := int64(len(buffered.body))
	if j.q.Method == http.MethodHead {
		length = buffered.length
	}
	switch {
	case buffered.framing == upstream.Unframed:
		j.rw.EndWithConnection()
	case length >= 0:
		j.rw.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.rw.WriteHeader(buffered.status)
	if j.q.Method == http.MethodHead {
		return nil
	}
	if _, err := j.rw.Write(buffered.body); err != nil {
		return errCallerGone
	}
	return nil
}
