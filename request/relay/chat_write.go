package relay

import (
	"fmt"
	"net/http"

	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// forward sends an engine event to a streaming caller.
func (j *chatJob) forward(att *upstreamAttempt, chunk *engine.Chunk, data []byte) error {
	j.finishSent = j.finishSent || chunk.FinishReason() != ""
	continued := j.rw.HeaderWritten() && att.start.Attempt > 1 && j.completion.tokens > 0
	switch {
	case chunk.Usage != nil && len(chunk.Choices) == 0:
		// Usage is sent at the end, corrected over all attempts.
		return nil
	case continued && chunk.Empty():
		return nil
	case continued && len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Role != "" && chunk.TextOnly():
		data = j.completion.textChunk(chunk.Choices[0].Delta.Content, chunk.FinishReason())
		return j.writeEvent(att, data, false)
	}
	return j.writeEvent(att, data, true)
}

// writeEvent sends one event in a single write. In data from an engine (foreign), the id and
// creation time are replaced by those of the completion.
func (j *chatJob) writeEvent(att *upstreamAttempt, data []byte, foreign bool) error {
	j.frame = append(j.frame[:0], dataField...)
	if foreign {
		j.frame = splice(j.frame, data, j.completion.id, j.completion.created)
	} else {
		j.frame = append(j.frame, data...)
	}
	j.frame = append(j.frame, endEvent...)
	return j.write(att, j.frame)
}

func (j *chatJob) write(att *upstreamAttempt, frame []byte) error {
	j.rw.WriteStreamHeader(att.start.Server)
	j.recorder.write(frame)
	if err := j.rw.WriteEvent(frame); err != nil && !j.req.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// finish sends what is missing after the complete text: the whole answer to a caller without
// streaming, else the final events.
func (j *chatJob) finish(att *upstreamAttempt) error {
	if !j.q.Stream {
		return j.finishBuffered(att)
	}
	if !j.finishSent {
		if err := j.writeEvent(att, j.completion.textChunk("", j.completion.finish), false); err != nil {
			return err
		}
	}
	if j.q.StreamOptions.IncludeUsage {
		if err := j.writeEvent(att, j.completion.usageChunk(), false); err != nil {
			return err
		}
	}
	return j.write(att, []byte(doneEvent))
}

func (j *chatJob) finishBuffered(att *upstreamAttempt) error {
	body, err := j.completion.response()
	if err != nil {
		return err
	}
	j.recorder.begin(http.StatusOK, contentJSON, upstream.FramedByLength)
	j.recorder.write(body)
	j.rw.WriteHeader(http.StatusOK, contentJSON, att.start.Server)
	if _, err := j.rw.Write(body); err != nil && !j.req.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

const contentJSON = "application/json"
