package upstream

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a connection that is closed in the middle of a request, since the report that
// the request before has ended came late.
func TestLateReleaseLeavesTheNextUseBusy(t *testing.T) {
	is := is.New(t)
	conn := &trackedConn{}
	first := conn.acquire(nil)
	second := conn.acquire(nil)
	conn.release(first)
	is.True(!conn.closeIfIdle())
	conn.release(second)
	is.True(conn.closeIfIdle())
	conn.release(conn.acquire(nil))
	is.True(!conn.closeIfIdle()) // it stays closed
}
