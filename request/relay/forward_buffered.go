package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
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
	body   pieces
	// framing and length are those of the server's response; length is -1 if it stated none.
	framing upstream.Framing
	length  int64
}

// forwardBuffered reads the complete answer before it sends the first byte, if there is room
// for it.
func (j *forwardJob) forwardBuffered(ctx context.Context, att *upstreamAttempt, resp *gateway.Response) error {
	body, held, err := j.readAnswer(ctx, resp)
	defer func() { j.q.Hold.Free(holding.Answer, held) }()
	if errors.Is(err, holding.ErrNoRoom) || j.q.Hold != nil && body.size() > maxForwardBuffer {
		return j.passOn(resp, body)
	}
	if err != nil {
		return err
	}
	j.reportRun()
	if body.size() > maxForwardBuffer {
		return errAnswerTooLarge
	}
	buffered := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body, framing: j.req.framing, length: resp.ContentLength}
	if resp.StatusCode >= http.StatusInternalServerError && !j.rw.HeaderWritten() {
		// It stays held until the end of the request.
		j.failedAnswer, held = buffered, 0
		return errServerFailed
	}
	if j.rw.HeaderWritten() {
		// A resumed stream was answered with something other than a stream.
		return errors.New("backend server answered " + strconv.Itoa(resp.StatusCode) + " instead of a resumed stream")
	}
	if j.q.Hold != nil {
		j.relay.postFinished(j.req, att.start)
	}
	return j.writeBuffered(buffered)
}

// writeBuffered sends a buffered answer to the caller unchanged.
func (j *forwardJob) writeBuffered(buffered *bufferedAnswer) error {
	j.req.record.Answered()
	j.reportTokens(1)
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), buffered.header)
	length := buffered.body.size()
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
	for _, piece := range buffered.body {
		if _, err := j.rw.Write(piece); err != nil {
			return j.callerGone(err)
		}
	}
	return nil
}
