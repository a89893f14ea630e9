// Package faultsoak runs the real programs as processes of one machine, hurts them
// from outside and checks what they promise from what callers, operators and
// backend servers see.
//
// It is a test: make fault-soak SEED=7 MINUTES=2 runs it by hand. What happens in
// a run is planned from its seed and printed.
package faultsoak
