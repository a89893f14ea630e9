package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

// Meta is what every request carries, checked.
type Meta struct {
	// RequestID is made here, fresh for each request.
	RequestID string
	Class     string
	Team      string
	// Target is the model or service.
	Target string
	// Deadline is the caller's own; zero means none.
	Deadline time.Time
	// Key is the Idempotency-Key; "" means that the request is not deduplicated.
	Key string
	// Path is the request's path and query, for digests.
	Path string
	Body []byte
}

// Chat is a checked chat completions request.
type Chat struct {
	Meta
	ChatFields
}

// Service is a checked request for a plain service.
type Service struct {
	Meta
	Method string
	// URI is the path and query as the service shall see them.
	URI    string
	Header http.Header
}

// Router runs checked requests. An error that it returns has not been written
// to the answer yet.
type Router interface {
	// View returns the configuration in force; nil while none is known.
	View() *model.View
	Chat(ctx context.Context, q *Chat, answer *ResponseWriter) error
	Service(ctx context.Context, q *Service, answer *ResponseWriter) error
}

// Counter counts what happened to callers' requests; labels are bounded.
type Counter interface {
	// Refused counts an error answered to a caller.
	Refused(kind string)
	// Request counts a request that passed the checks.
	Request(class string)
}
