package httpserver

import "net/http"

// EndWithConnection makes the body of a response end with its connection, without a length
// or chunks, as that of a server whose response does not show whether it is complete. It must
// be called before the header is written.
func EndWithConnection(header http.Header) {
	header.Del("Content-Length")
	// net/http takes this value as a request to write the body as it is.
	header.Set("Transfer-Encoding", "identity")
}

// Reset closes the connection of a response that has begun with a TCP reset. A regular close
// would be the regular end of a body that ends with its connection.
func Reset(control *http.ResponseController) {
	conn, _, err := control.Hijack()
	if err != nil {
		// Not a connection of HTTP/1: the abort of the handler resets the stream.
		return
	}
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	conn.Close()
}
