package gateway

// RateLimit is the request rate that a backend server accepts.
type RateLimit struct {
	// Advertised is true if the server sent a valid limit.
	Advertised bool
	// PerSecond is the limit in requests per second for all instances together.
	PerSecond float64
	// Invalid is the quoted header value if that is not a valid limit, else empty.
	Invalid string
}
