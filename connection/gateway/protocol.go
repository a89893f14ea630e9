// Package gateway is the front towards callers whose requests are routed by host
// and path and passed on byte for byte.
//
// What callers and backend servers call things stands behind Protocol; here each
// thing has one name.
package gateway

import (
	"net/http"
	"time"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Protocol translates between the wire and this package. It decides nothing.
type Protocol interface {
	// ParseRequest reads what a caller's header says of its request. The error names the
	// header that can't be read.
	ParseRequest(header http.Header) (RequestInfo, error)
	// RequestHeader returns the header to send to a backend server: the caller's, less
	// what is the system's own to set, and what send says.
	RequestHeader(header http.Header, send *ForwardInfo) http.Header
	// ParseResponse reads what a backend server's header says of its answer.
	ParseResponse(header http.Header, status int) ResponseInfo
	// CopyResponseHeader copies the header of a backend server's answer for the caller.
	CopyResponseHeader(to, from http.Header)
	// IDHeader names the header that carries the attempt's id there and back.
	IDHeader() string
	// ParseDocument decodes an operator's text; the error names what is wrong.
	ParseDocument(content []byte) (*routing.Document, error)
}

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo is what a caller says of its request beside method, path and body.
type RequestInfo struct {
	// AttemptID is fresh for each attempt of the caller.
	AttemptID string
	// Key proves the caller's team; empty if none was sent.
	Key string
	// Timeout is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	// PromptTokens and MaxTokens size the request; 0 if it doesn't say.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's guess of the answer's tokens; 0 if it gives none.
	LengthHint int
	// Parts make up the prompt, in order; the last is the request's own.
	Parts []PromptPart
	// LastEvent is the id of the last event that the caller holds of a stream.
	LastEvent string
}

// ForwardInfo is what the system itself tells a backend server of a request.
type ForwardInfo struct {
	// Remaining is how long the caller still waits; 0 if it never said.
	Remaining time.Duration
	// Server is the identity of the one that shall run it.
	Server string
	// Team holds the caller's key; empty for none.
	Team string
	// Priority orders requests at the server; 0 is the most urgent.
	Priority int
	// Resumable routes pass on the caller's LastEvent.
	Resumable bool
	// LastEvent is the last event that was passed on of a stream that broke.
	LastEvent string
	// FetchFrom is the address of an engine that holds more of the prompt; the
	// server fetches that part before it reads the rest. Empty for none.
	FetchFrom string
}

// ResponseInfo is what a backend server's header says.
type ResponseInfo struct {
	// AttemptID is the one of the request that is answered.
	AttemptID string
	// NotRun is true where the server states that it did not run the request.
	NotRun bool
	// Signed answers carry the server's own proof of their content.
	Signed bool
	// Server is the identity of the one that answered; empty if it doesn't say.
	Server string
	// Load is the server's word on its load; nil if it gives none.
	Load *Load
	// KeepAlive is how long the server keeps the connection; 0 if it doesn't say.
	KeepAlive time.Duration
	// RetryAfter is when the server wants the request again; 0 if it doesn't say.
	RetryAfter time.Duration
	// Limit is the server's word on how many requests it takes.
	Limit RateLimit
}

// Load is a server's word on its load.
type Load struct{ Running, Waiting, Slots int }
