package httpserver

import (
	"net/http"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/holding"
)

// BodyLimits bound the body of a request.
type BodyLimits struct {
	// Bytes is the largest body, bytes.
	Bytes int64
	// Time is how long it may take to arrive; 0 for no bound. A client that doesn't go on would keep
	// the room for its body.
	Time time.Duration
	// RoomWait is how long the request waits for room.
	RoomWait time.Duration
}

// ReadBody reads the complete body of a request once hold has room for it. It returns a
// *http.MaxBytesError, holding.ErrNoRoom, or the error of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, hold *holding.Hold, limits BodyLimits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if limits.Time > 0 {
		_ = control.SetReadDeadline(time.Now().Add(limits.Time))
	}
	length := r.ContentLength
	if length > limits.Bytes {
		length = -1
	}
	body, err := hold.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, limits.Bytes), length, limits.RoomWait)
	if err != nil {
		// The deadline stays: net/http reads on for a while before it sends the response.
		return nil, err
	}
	if limits.Time > 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, nil
}
