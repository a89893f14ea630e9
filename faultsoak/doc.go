// Package faultsoak is a fault-injection test. It runs the real programs as processes on one
// machine, injects faults from outside and checks the guarantees by what callers, operators
// and backend servers observe.
//
// While software versions of the servers change, callers break streams off and resume them at any
// entry. Each run prints how many of these went on, by what was under way.
//
// make fault-soak SEED=7 MINUTES=2 runs it by hand. The faults of a run are derived from its
// seed and printed.
package faultsoak
