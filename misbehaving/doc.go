// Package misbehaving tests the real programs on loopback addresses with clients that exceed the
// limits, send costly requests within them, or stall. Its tests check the memory and the open
// descriptors of the processes against their settings, so they run one at a time, apart from
// other load and without the race detector: make test-misbehaving.
package misbehaving
