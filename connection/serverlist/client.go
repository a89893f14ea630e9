package serverlist

import (
	"net"
	"net/http"
)

// maxHeaderBytes bounds the header of a reply.
const maxHeaderBytes = 64 << 10

// NewClient returns the HTTP client for the platform's list. It keeps one idle connection.
// A connection on which a request times out is closed, and the next request opens a new one.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: readTimeout}
	return &http.Client{
		Timeout: readTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}
