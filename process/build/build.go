// Package build tells which version of lilacbridge a process runs.
package build

// Version is set by the linker to the commit that the binary was built from.
var Version = "unknown"
