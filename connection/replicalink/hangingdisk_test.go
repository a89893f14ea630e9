package replicalink

import (
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// Guards against a leader that keeps its lead while its disk hangs, so that no command is accepted.
func TestLeaderWithAHangingDiskIsReplaced(t *testing.T) {
	f := newFleet(t, "state-a", "state-b", "state-c")
	f.propose("before")
	leader := func(except string) string {
		for name, p := range f.running {
			if name != except && p.node.Status().Role == replica.Leader {
				return name
			}
		}
		return ""
	}
	hanging := leader("")
	is.New(t).True(hanging != "")
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	f.disks[hanging].(*memdisk.Disk).BeforeSync(func() { <-release })
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		// Whether it is accepted is open; it makes the leader write.
		_, _ = f.running[hanging].node.Propose(t.Context(), []byte("on the hanging disk#1"))
	}()
	f.waitUntil("a command under another leader", func() bool {
		next := leader(hanging)
		if next == "" {
			return false
		}
		_, err := f.running[next].node.Propose(t.Context(), []byte("while it hangs#1"))
		return err == nil
	})
	end()
	<-proposed
	f.waitUntil("all commands where the disk hung", func() bool { return slices.Contains(f.running[hanging].machine.all(), "while it hangs") })
}
