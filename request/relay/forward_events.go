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

// forwardEvents forwards a stream event by event. Once a write to the caller has blocked,
// another goroutine reads on and the events come from a queue.
func (j *forwardJob) forwardEvents(ctx context.Context, att *upstreamAttempt, resp *gateway.Response) error {
	events := &stream{job: j, start: att.start, resp: resp, tokens: j.eventTokens()}
	events.reader.reset(resp.Body)
	j.slow.begin(events)
	defer func() {
		j.slow.begin(nil)
		events.close()
	}()
	for {
		event, err := events.next()
		if len(event) > 0 && (err == nil || err == io.EOF) {
			if forwardErr := j.forwardEvent(ctx, events, event); forwardErr != nil {
				return forwardErr
			}
		}
		if err == io.EOF {
			return j.endStream(resp, events.running)
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

func (j *forwardJob) forwardEvent(ctx context.Context, events *stream, event []byte) error {
	if err := j.mayForward(ctx, events); err != nil {
		return err
	}
	if !j.rw.HeaderWritten() {
		j.begin(events.resp)
		j.bindVersion(events.start.Version)
	}
	j.req.record.Answered()
	if !events.readOn {
		j.reportTokens(events.tokens)
	}
	events.beginWrite()
	err := j.rw.Send(event)
	if events.readOn {
		events.written(event)
	}
	events.endWrite()
	if err != nil {
		return j.callerGone(err)
	}
	if id, ok := eventID(event); ok {
		j.sentEvent, j.req.lastEvent = id, id
	}
	return nil
}

// mayForward returns an error if no more of the stream may be sent to the caller.
func (j *forwardJob) mayForward(ctx context.Context, events *stream) error {
	if events.readOn {
		return j.mayDeliverHeld(ctx, events)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.req.pastDeadline() {
		return context.DeadlineExceeded
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
