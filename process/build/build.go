// Package build holds the version of the lilacbridge binary.
package build

// Version is set by the linker to the commit that the binary was built from.
var Version = "unknown"
