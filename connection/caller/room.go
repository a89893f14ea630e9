package caller

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// maxRoomWait bounds the time that a request waits for room for its header, its body, or what the
	// body takes once it is decoded.
	maxRoomWait = time.Second
	// messageBytes and valueBytes are the memory that a message and another value of a chat take once
	// they are decoded, bytes.
	messageBytes = 64
	valueBytes   = 96
	// noRoomRetry is the Retry-After of a request for which there was no room, and retryJitter the
	// maximum random addition.
	noRoomRetry = time.Second
	retryJitter = 400 * time.Millisecond
)

// openHold opens the account of what is held for the request, with room for its header.
func (h *Handler) openHold(r *http.Request, team string) (*holding.Hold, error) {
	if h.holdings == nil {
		return nil, nil
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	hold := h.holdings.Open(holding.Owner{Team: team, Caller: host})
	if hold.Wait(r.Context(), holding.Head, connguard.Cost(httpserver.HeaderSize(r)), maxRoomWait) != nil {
		hold.Close()
		return nil, errNoRoom("header")
	}
	connguard.Release(r.Context())
	return hold, nil
}

// errNoRoom refuses a request of which a part finds no room.
func errNoRoom(part string) error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance holds too much for others to accept the request "+part+"; retry after Retry-After", fault.WithRetryAfter(noRoomRetry+rand.N(retryJitter)))
}
