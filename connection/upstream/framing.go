package upstream

import (
	"net/http"
	"slices"
)

// Framing is how a response delimits its body. Only a framed body shows whether it is complete.
type Framing string

const (
	// FramedByLength is a body with a Content-Length, or a response that has no body.
	FramedByLength Framing = "length"
	// FramedByChunks is a chunked body.
	FramedByChunks Framing = "chunks"
	// Unframed is a body that ends with its connection. A server that crashes may end it in
	// the same way.
	Unframed Framing = "none"
)

// FramingOf returns the framing of a response received by Client.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Request != nil && resp.Request.Method == http.MethodHead:
		return FramedByLength
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramedByChunks
	}
	return Unframed
}
