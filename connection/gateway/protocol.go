// Package gateway serves callers whose requests are routed by host and path and
// forwarded to backend servers byte for byte.
//
// Protocol hides the header names and formats that callers and backend servers use.
package gateway

import (
	"net/http"
	"time"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Protocol translates between HTTP headers and the types of this package. It makes no
// routing decisions. Its methods are called concurrently.
type Protocol interface {
	// ParseRequest parses the header of a caller's request. The error names the invalid
	// header.
	ParseRequest(header http.Header) (RequestInfo, error)
	// RequestHeader returns the header to send to a backend server: the caller's without
	// the fields that lilacbridge sets itself, plus those of info.
	RequestHeader(header http.Header, info *ForwardInfo) http.Header
	// ParseResponse parses the header of a backend server's response.
	ParseResponse(header http.Header, status int) ResponseInfo
	// CopyResponseHeader copies the fields of a backend server's response header that the
	// caller gets.
	CopyResponseHeader(to, from http.Header)
	// IDHeader returns the name of the header that carries the attempt id in requests and
	// responses.
	IDHeader() string
	// ParseDocument parses an operator's configuration document.
	ParseDocument(content []byte) (*routing.Document, error)
}

// PromptPart is a section of a prompt that other requests may share. ID is equal for
// equal sections.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo holds the metadata in the header of a caller's request.
type RequestInfo struct {
	// AttemptID is unique for each attempt of the caller.
	AttemptID string
	// Key authenticates the caller's team; empty if none was sent.
	Key string
	// Timeout is how long the caller waits for the response; 0 if unknown.
	Timeout time.Duration
	// PromptTokens and MaxTokens are the request's size; 0 if unknown.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the number of generated tokens; 0 if none.
	LengthHint int
	// Parts are the sections of the prompt in order; the last is unique to the request.
	Parts []PromptPart
	// LastEvent is the id of the last event of a stream that the caller received.
	LastEvent string
	// Resumes is the AttemptID of the attempt that brought the first event of that stream;
	// empty if the caller named none.
	Resumes string
}

// ForwardInfo holds the metadata that lilacbridge adds to a forwarded request.
type ForwardInfo struct {
	// Remaining is the rest of the caller's timeout; 0 if the caller sent none.
	Remaining time.Duration
	// Server is the identity of the server that is to run the request.
	Server string
	// Team is the owner of the caller's key; empty if there is none.
	Team string
	// Priority orders requests at the server; 0 is the most urgent.
	Priority int
	// Resumable is set if the route forwards the caller's LastEvent.
	Resumable bool
	// LastEvent is the id of the last event forwarded of a stream that broke.
	LastEvent string
	// FetchFrom is the address of an engine that has more of the prompt's KV cache; the
	// server fetches that part before it processes the rest. Empty for none.
	FetchFrom string
}

// ResponseInfo holds the metadata in the header of a backend server's response.
type ResponseInfo struct {
	// AttemptID is the id of the request that the response belongs to; empty if it carries none or
	// several.
	AttemptID string
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Signed reports whether the response carries one signature of the server.
	Signed bool
	// Server is the identity of the server that responded; empty if unknown.
	Server string
	// Load is the server's load report; nil if there is none.
	Load *Load
	// KeepAlive is the server's idle timeout for the connection; 0 if unknown.
	KeepAlive time.Duration
	// RetryAfter is the delay that the server asks for; 0 if none.
	RetryAfter time.Duration
	// Limit is the server's own rate limit.
	Limit RateLimit
	// Rejections is the number of requests that the server can reject per second for lack of
	// room without failing.
	Rejections RateLimit
}

// Load is a server's load report, in requests. Pace is how long work takes on the server at this
// moment, relative to a usual server; 0 if the server does not state it.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64
}
