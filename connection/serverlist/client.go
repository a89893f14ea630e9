package serverlist

import (
	"net"
	"net/http"
)

// NewClient returns the client for the platform's list: it keeps one connection.
// A silent one ends with the timeout of the reading; the next has a new one.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: readTimeout}
	return &http.Client{
		Timeout:   readTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true},
	}
}
