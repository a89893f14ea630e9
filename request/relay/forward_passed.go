package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

const (
	// answerStep is the room asked for at a time for an answer of unknown length.
	answerStep = 64 << 10
	// maxAnswerWait bounds the time that an answer waits for room before it is passed on as it
	// comes. It is well below the time after which a server cuts off an answer that nobody
	// reads.
	maxAnswerWait = 500 * time.Millisecond
	// passOnBytes is the size of the pieces in which an answer is passed on.
	passOnBytes = 32 << 10
)

// readAnswer reads the complete answer and returns how much room is held for it. With
// holding.ErrNoRoom it returns the part that was read.
func (j *forwardJob) readAnswer(ctx context.Context, resp *gateway.Response) (body []byte, held int64, err error) {
	limited := io.LimitReader(resp.Body, maxForwardBuffer+1)
	if j.q.Hold == nil {
		body, err = io.ReadAll(limited)
		j.req.read = int64(len(body))
		return body, 0, err
	}
	if resp.Body == http.NoBody {
		return nil, 0, nil
	}
	step, known := int64(answerStep), resp.ContentLength >= 0
	if known {
		step = min(resp.ContentLength, maxForwardBuffer) + 1
	}
	var read bytes.Buffer
	for {
		if err := j.q.Hold.Wait(ctx, holding.Answer, step, maxAnswerWait); err != nil {
			return read.Bytes(), held, err
		}
		held += step
		if known {
			read.Grow(int(step) + bytes.MinRead)
			known = false
		}
		n, err := io.CopyN(&read, limited, step)
		j.req.read += n
		// Only io.EOF itself is a regular end; a connection's error may wrap it.
		if err == io.EOF {
			j.q.Hold.Free(holding.Answer, step-n)
			return read.Bytes(), held - (step - n), nil
		}
		if err != nil {
			return nil, held, err
		}
	}
}

// passOn sends an answer for which there is no room as it comes, beginning with the part that
// was read. Such an answer can't be retried.
func (j *forwardJob) passOn(resp *gateway.Response, head []byte) error {
	j.reportRun()
	if j.rw.HeaderWritten() {
		return errors.New("backend server answered " + strconv.Itoa(resp.StatusCode) + " instead of a resumed stream")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errServerFailed
	}
	j.passing = true
	// The part that was read is read again below.
	j.req.read = 0
	j.req.record.Answered()
	j.reportTokens(1)
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), resp.Header)
	switch {
	case j.req.framing == upstream.Unframed:
		j.rw.EndWithConnection()
	case resp.ContentLength >= 0:
		j.rw.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.rw.WriteHeader(resp.StatusCode)
	piece := make([]byte, passOnBytes)
	from := io.MultiReader(bytes.NewReader(head), resp.Body)
	for {
		n, err := from.Read(piece)
		j.req.read += int64(n)
		if n > 0 {
			if _, writeErr := j.rw.Write(piece[:n]); writeErr != nil {
				return j.callerGone(writeErr)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
