package relay

import (
	"context"
	"net/http"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/outcome"
)

// answerRecorder records an answer for the ledger, up to the size that it stores. A nil
// answerRecorder records nothing.
type answerRecorder struct {
	status      int
	contentType string
	body        []byte
	framing     upstream.Framing
}

func (rec *answerRecorder) begin(status int, contentType string, framing upstream.Framing) {
	if rec == nil {
		return
	}
	rec.status, rec.contentType, rec.framing = status, contentType, framing
}

// write records one byte more than the ledger stores, which marks the answer as too large.
func (rec *answerRecorder) write(b []byte) {
	if rec == nil {
		return
	}
	room := outcome.MaxStoredBytes + 1 - len(rec.body)
	rec.body = append(rec.body, b[:min(room, len(b))]...)
}

// serve runs a validated request, under a claim if it has an Idempotency-Key. The request
// counts as in progress until its outcome was passed to Claims, so that a drain waits for
// both.
func (r *Relay) serve(ctx context.Context, req *request, meta *caller.Meta, rw *caller.ResponseWriter, run func(*answerRecorder) error) error {
	if err := r.register(req); err != nil {
		return err
	}
	defer r.unregister(req)
	if meta.Key == "" {
		return run(nil)
	}
	claim, stored, err := r.Claims.Begin(ctx, &req.record, meta.Team, meta.Key, meta.RequestID, outcome.Digest(meta.Path, meta.Body))
	if err != nil {
		return err
	}
	if stored != nil {
		return replay(stored, rw)
	}
	recorder := &answerRecorder{status: http.StatusOK, contentType: "text/event-stream"}
	err = run(recorder)
	if err == nil {
		claim.Ran(&lilacv1.StoredAnswer{
			Status: uint32(recorder.status), ContentType: recorder.contentType, Body: recorder.body,
			Unframed: recorder.framing == upstream.Unframed,
		})
		return nil
	}
	proof, _ := req.record.Proof()
	claim.NotRun(proof)
	return err
}

// replay sends the stored answer of an earlier request with the same key.
func replay(stored *lilacv1.StoredAnswer, rw *caller.ResponseWriter) error {
	rw.Header().Set("X-Lilac-Replayed", "true")
	if stored.GetUnframed() {
		rw.EndWithConnection()
	}
	rw.WriteHeader(int(stored.GetStatus()), stored.GetContentType(), "")
	_, err := rw.Write(stored.GetBody())
	if err != nil {
		return nil
	}
	return rw.Flush()
}
