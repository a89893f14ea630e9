package gateway

// RateLimit is a backend server's word on how many requests it takes.
type RateLimit struct {
	// Named is true where the server states a limit.
	Named bool
	// PerSecond is how many requests a second it takes from all instances together.
	PerSecond float64
	// Unreadable is what stands in place of a number; empty for nothing.
	Unreadable string
}
