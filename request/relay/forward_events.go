package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// eventStreamType is the content type of server-sent events.
const eventStreamType = "text/event-stream"

// eventTokens returns the number of tokens per event of the stream.
func (j *forwardJob) eventTokens() int {
	service := j.q.Table.Service(j.req.target)
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.EventTokens, 1)
}

// forwardEvents forwards a stream event by event.
func (j *forwardJob) forwardEvents(ctx context.Context, resp *gateway.Response) error {
	tokens := j.eventTokens()
	var events eventReader
	events.reset(resp.Body)
	running := false
	for {
		event, err := events.next()
		if len(event) > 0 && !running {
			running = true
			j.reportRun()
		}
		if len(event) > 0 && (err == nil || err == io.EOF) {
			if forwardErr := j.forwardEvent(ctx, resp, event, tokens); forwardErr != nil {
				return forwardErr
			}
		}
		if err == io.EOF {
			return j.endStream(resp, running)
		}
		if err != nil {
			return err
		}
	}
}

// errUnconfirmedEnd is returned for the regular end of an unframed stream whose first part
// reached the caller with a framing: ending that would claim that the stream is complete.
var errUnconfirmedEnd = errors.New("resumed stream ended with its connection and may be incomplete")

// endStream ends the answer with a stream that ended regularly. anyEvents reports whether the
// server sent a part of it.
func (j *forwardJob) endStream(resp *gateway.Response, anyEvents bool) error {
	fresh := j.sentEvent == "" && j.q.LastEvent == ""
	if j.req.framing == upstream.Unframed && !anyEvents && fresh && j.q.Route.Resumable {
		// Nothing of it can be lost by a repetition.
		return io.ErrUnexpectedEOF
	}
	if !j.rw.HeaderWritten() {
		// The stream had no events.
		j.begin(resp)
	}
	if j.req.framing == upstream.Unframed && !j.rw.Unframed() {
		return errUnconfirmedEnd
	}
	return nil
}

func (j *forwardJob) begin(resp *gateway.Response) {
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), resp.Header)
	switch {
	case j.req.framing == upstream.Unframed:
		j.rw.EndWithConnection()
	case resp.ContentLength >= 0 && !j.q.Route.Resumable:
		j.rw.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.rw.WriteHeader(resp.StatusCode)
}

func (j *forwardJob) forwardEvent(ctx context.Context, resp *gateway.Response, event []byte, tokens int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.req.pastDeadline() {
		return context.DeadlineExceeded
	}
	if !j.rw.HeaderWritten() {
		j.begin(resp)
	}
	j.req.record.Answered()
	j.reportTokens(tokens)
	if _, err := j.rw.Write(event); err != nil {
		return errCallerGone
	}
	if err := j.rw.Flush(); err != nil {
		return errCallerGone
	}
	if id, ok := eventID(event); ok {
		j.sentEvent, j.req.lastEvent = id, id
	}
	return nil
}

// eventID returns the id of a complete event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
