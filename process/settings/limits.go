package settings

import (
	"fmt"
	"math"
	"syscall"
)

const (
	// heldDivisor is the part of the memory that the account of what a process holds for others gets
	// by default. The collector lets the heap grow beyond what is held, and the process needs memory
	// of its own.
	heldDivisor = 5
	// unknownHeldBytes is the bound of a state process whose memory is unknown, bytes.
	unknownHeldBytes = 200_000_000
	bytesPerMB       = 1_000_000
	// minFileDescriptors is enough for the listeners, files and links of a process in a small
	// fleet, and for a few callers.
	minFileDescriptors = 64
)

// ProcessLimits is what a process may use of its machine.
type ProcessLimits struct {
	// MemoryMB is the memory that the process may use, in MB (1e6 bytes). Default unknown.
	MemoryMB int64 `yaml:"memory_mb"`
	// FileDescriptors is the number of descriptors that the process may open. Default the limit
	// that the operating system sets for the process.
	FileDescriptors int `yaml:"file_descriptors"`
}

// Machine returns what the process may use of its machine.
func (e *Entry) Machine() *ProcessLimits { return &e.Limits.ProcessLimits }

// Machine returns what the process may use of its machine.
func (s *State) Machine() *ProcessLimits { return &s.Limits }

// MemoryBytes returns the memory that the process may use, 0 if it is unknown.
func (l *ProcessLimits) MemoryBytes() int64 { return l.MemoryMB * bytesPerMB }

// Descriptors returns the number of descriptors that the process may open.
func (l *ProcessLimits) Descriptors() int {
	limit := math.MaxInt32
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	if l.FileDescriptors > 0 {
		return min(l.FileDescriptors, limit)
	}
	return limit
}

func (l *ProcessLimits) validate() (all []error) {
	if l.MemoryMB < 0 {
		all = append(all, &Problem{Line: 1, Field: "limits.memory_mb", Message: "must be a number of MB, 0 for unknown"})
	}
	if l.FileDescriptors != 0 && l.FileDescriptors < minFileDescriptors {
		all = append(all, &Problem{Line: 1, Field: "limits.file_descriptors", Message: fmt.Sprintf("is %d, must be %d or more, or 0 for the limit of the operating system", l.FileDescriptors, minFileDescriptors)})
	}
	return all
}
