package relay

import (
	"context"
	"net/http"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/request/outcome"
)

// copied keeps an answer for the ledger, up to the size that it stores.
type copied struct {
	status      int
	contentType string
	body        []byte
}

func (c *copied) begin(status int, contentType string) {
	if c == nil {
		return
	}
	c.status, c.contentType = status, contentType
}

// write keeps one byte more than is stored, which tells that it was too large.
func (c *copied) write(b []byte) {
	if c == nil {
		return
	}
	room := outcome.MaxStoredBytes + 1 - len(c.body)
	c.body = append(c.body, b[:min(room, len(b))]...)
}

// carry runs a request that has been checked, under a claim where it carries an
// Idempotency-Key. The request counts as in progress until its outcome is in
// the hands of Claims, so that a drain waits for both.
func (r *Relay) carry(ctx context.Context, f *flight, meta *caller.Meta, answer *caller.ResponseWriter, run func(*copied) error) error {
	if err := r.enter(f); err != nil {
		return err
	}
	defer r.leave(f)
	if meta.Key == "" {
		return run(nil)
	}
	claim, stored, err := r.Claims.Begin(ctx, &f.record, meta.Team, meta.Key, meta.RequestID, outcome.Digest(meta.Path, meta.Body))
	if err != nil {
		return err
	}
	if stored != nil {
		return replay(stored, answer)
	}
	keep := &copied{status: http.StatusOK, contentType: "text/event-stream"}
	err = run(keep)
	if err == nil {
		claim.Ran(keep.status, keep.contentType, keep.body)
		return nil
	}
	proof, _ := f.record.Proof()
	claim.NotRun(proof)
	return err
}

// replay gives the first answer again.
func replay(stored *lilacv1.StoredAnswer, answer *caller.ResponseWriter) error {
	answer.Header().Set("X-Lilac-Replayed", "true")
	answer.WriteHeader(int(stored.GetStatus()), stored.GetContentType(), "")
	_, err := answer.Write(stored.GetBody())
	if err != nil {
		return nil
	}
	return answer.Flush()
}
