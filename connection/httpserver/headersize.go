package httpserver

import "net/http"

// HeaderSize returns the least number of bytes in which the header can have arrived, and the number
// of its lines.
func HeaderSize(r *http.Request) (bytes, lines int) {
	const (
		requestLine = len("  HTTP/1.1\n")
		hostLine    = len("Host:\n")
		separators  = len(":\n")
	)
	bytes, lines = len(r.Method)+len(r.RequestURI)+requestLine+len(r.Host)+hostLine, 2
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + separators
		}
		lines += len(values)
	}
	return bytes, lines
}
