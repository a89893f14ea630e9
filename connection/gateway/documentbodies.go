package gateway

import (
	"errors"
	"net/http"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// documentTime bounds the time for a document to arrive.
	documentTime = 10 * time.Second
	// documentRoomWait bounds the wait for room. Operators' clients try another process after one
	// second without an answer.
	documentRoomWait = 400 * time.Millisecond
	// documentObjectBytes and documentValueBytes are the memory that an object and another value of a
	// document take while it is decoded, bytes.
	documentObjectBytes = 512
	documentValueBytes  = 48
)

// DocumentBodies reads the bodies of documents by the account of what the process holds. Its zero
// value has no account.
type DocumentBodies struct{ Holdings *holding.Store }

// Read reads a document of at most limit bytes. What it takes is held until hold is closed.
func (b DocumentBodies) Read(w http.ResponseWriter, r *http.Request, limit int64) (content []byte, hold *holding.Hold, err error) {
	hold = b.Holdings.Open(holding.Owner{Caller: hostWithoutPort(r.RemoteAddr)})
	content, err = httpserver.ReadBody(w, r, hold, httpserver.BodyLimits{Bytes: limit, Time: documentTime, RoomWait: documentRoomWait})
	if err == nil {
		err = b.holdDecoded(r, hold, content)
	}
	if err != nil {
		hold.Close()
		return nil, nil, documentError(err, limit)
	}
	return content, hold, nil
}

func (b DocumentBodies) holdDecoded(r *http.Request, hold *holding.Hold, content []byte) error {
	cost := holding.DecodeCost(content, documentObjectBytes, documentValueBytes)
	if !b.Holdings.Fits(int64(len(content)) + cost) {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the configuration has more routes, services and other parts than this process has memory for; send a smaller one")
	}
	return hold.Wait(r.Context(), holding.Body, cost, documentRoomWait)
}

func documentError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the configuration is larger than %d bytes; send a smaller one", limit)
	case errors.Is(err, holding.ErrNoRoom):
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this process holds too many other configurations; send it again")
	case fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE):
		return err
	}
	return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the configuration was received only in part; send it again")
}
