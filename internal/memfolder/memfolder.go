// Package memfolder provides folders in memory for tests of replication.
//
// On a busy machine a disk may take longer for one sync than the client of a group waits, while
// other programs write much; such a test then fails without a quorum.
package memfolder

import (
	"os"
	"testing"
)

// sharedMemory is where Linux mounts a file system in memory.
const sharedMemory = "/dev/shm"

// New returns an empty folder that is removed after the test. It is on the disk for benchmarks,
// which measure that, and where no file system in memory can be written.
func New(t testing.TB) string {
	if _, ok := t.(*testing.B); ok {
		return t.TempDir()
	}
	folder, err := os.MkdirTemp(sharedMemory, "lilacbridge-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			t.Errorf("folder of the test can't be removed: %v", err)
		}
	})
	return folder
}
