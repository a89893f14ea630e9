package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

const (
	// firstAnswerStep and answerStep are the room in bytes asked for first, and at a time later, for
	// an answer of unknown length.
	firstAnswerStep = 4 << 10
	answerStep      = 64 << 10
	// maxAnswerWait bounds the time that an answer waits for room before it is passed on as it
	// comes. It is well below the time after which a server cuts off an answer that nobody
	// reads.
	maxAnswerWait = 500 * time.Millisecond
	// passOnBytes is the size of the pieces in which an answer is passed on.
	passOnBytes = 32 << 10
)

// readAnswer reads the complete answer and returns how much room is held for it. With
// holding.ErrNoRoom it returns the part that was read.
func (j *forwardJob) readAnswer(ctx context.Context, resp *gateway.Response) (body pieces, held int64, err error) {
	if resp.Body == http.NoBody {
		return nil, 0, nil
	}
	limited := io.LimitReader(resp.Body, maxForwardBuffer+1)
	step := int64(firstAnswerStep)
	if resp.ContentLength >= 0 {
		step = min(resp.ContentLength, maxForwardBuffer) + 1
	}
	for {
		if j.q.Hold != nil {
			if err := j.q.Hold.Wait(ctx, holding.Answer, step, maxAnswerWait); err != nil {
				return body, held, err
			}
			held += step
		}
		piece := make([]byte, step)
		n, err := fill(limited, piece)
		body = append(body, piece[:n])
		j.req.read += int64(n)
		// Only io.EOF itself is a regular end; a connection's error may wrap it.
		if err == io.EOF {
			return body, held, nil
		}
		if err != nil {
			return nil, held, err
		}
		step = answerStep
	}
}

// pieces is the body of an answer in the parts in which it was read.
type pieces [][]byte

func (p pieces) size() int64 {
	total := int64(0)
	for _, piece := range p {
		total += int64(len(piece))
	}
	return total
}

// reader returns a reader of the whole body.
func (p pieces) reader() io.Reader {
	// Reading from net.Buffers empties its slice.
	buffers := net.Buffers(slices.Clone(p))
	return &buffers
}

// fill reads until the piece is full or from ends, whose error it returns unchanged.
func fill(from io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = from.Read(piece[n:])
		n += read
	}
	return n, err
}

// passOn sends an answer for which there is no room as it comes, beginning with the part that
// was read. Such an answer can't be retried.
func (j *forwardJob) passOn(resp *gateway.Response, head pieces) error {
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
	from := io.MultiReader(head.reader(), resp.Body)
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
