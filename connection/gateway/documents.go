package gateway

import (
	"context"
	"net/http"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// DocumentStore stores the configuration document that operators write.
type DocumentStore interface {
	// Put validates the document and replicates it. When it returns nil, a quorum has
	// synced the document to disk, and this document or a newer one stays in force.
	Put(ctx context.Context, content []byte) error
	// Get returns the newest document as it was sent, or an error if it can't confirm
	// that the document is the newest.
	Get(ctx context.Context) ([]byte, error)
}

// NotLeaderError is the error of a state process that is not the leader. Address is
// host:port of the leader's control address.
type NotLeaderError struct{ Address string }

func (e *NotLeaderError) Error() string {
	return "not the leader; send the request to " + e.Address + " instead"
}

// Platform adapts the gateway to the platform that it runs on.
type Platform interface {
	Protocol
	// ServerList returns the platform's list at the address, read with client.
	ServerList(address string, client *http.Client) ServerList
	// ReadinessPath returns the path of the load balancer's readiness probe.
	ReadinessPath() string
}

// ServerList reads the platform's list of backend servers.
type ServerList interface {
	// Fetch returns the servers of the complete list, each once, and the entries that it refused.
	Fetch(ctx context.Context) (servers []routing.Server, refused Refusals, err error)
}
