package gateway

import (
	"context"
	"net/http"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// DocumentStore keeps the one document that operators write.
type DocumentStore interface {
	// Put checks the document and has a quorum sync it. Once it returns nil, this
	// document or one of a higher version stays in force.
	Put(ctx context.Context, content []byte) error
	// Get returns the newest document as it was sent, or an error where that
	// can't be told for sure.
	Get(ctx context.Context) ([]byte, error)
}

// NotLeaderError sends the caller to the process that can answer.
type NotLeaderError struct{ Address string }

func (e *NotLeaderError) Error() string { return "ask " + e.Address + ", which leads" }

// Platform makes what speaks with the platform around the gateway.
type Platform interface {
	Protocol
	// ServerList reads the list at the address over the client.
	ServerList(address string, client *http.Client) ServerList
	// ReadinessPath is where the balancer asks whether to send connections here.
	ReadinessPath() string
}

// ServerList lists the backend servers.
type ServerList interface {
	// Fetch returns the whole list, and how many entries could not be read.
	Fetch(ctx context.Context) (servers []routing.Server, skipped int, err error)
}
