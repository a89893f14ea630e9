// Package loadgen makes seeded open-loop load for a lilacbridge fleet, checks
// that every answer is whole and its own, and measures what the callers got.
//
// Arrivals do not wait for answers, so that a slow fleet meets the same load as
// a fast one. The same plan and seed give the same arrivals.
package loadgen
