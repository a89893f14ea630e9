package gateway

// RateLimit is a backend server's word on how many requests it takes.
type RateLimit struct {
	// Advertised is true where the server states a limit.
	Advertised bool
	// PerSecond is how many requests a second it takes from all instances together.
	PerSecond float64
	// Invalid is what stands in place of a number; empty for nothing.
	Invalid string
}
