// Package loadgen generates seeded open-loop load for a lilacbridge fleet, verifies every
// answer and reports latency, goodput and violated guarantees.
//
// Arrivals do not wait for answers, so that a slow fleet gets the same load as a fast one.
// The same plan and seed give the same arrivals.
package loadgen
