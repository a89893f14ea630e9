package link

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// An attacker without the key connects and returns every byte that it receives, so that
// the process checks its own proof. The process must refuse the connection.
func TestReflectedProofIsRefused(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	go io.Copy(theirs, theirs)
	go func() {
		time.Sleep(handshakeTimeout + time.Second)
		theirs.Close()
	}()
	id := Identity{Peer: Peer{Process: "s"}, Keys: secret.StaticKeys([]byte("one key of all"))}
	buffered := &queuedConn{Conn: ours, out: make(chan []byte, 8)}
	go buffered.drain()
	_, _, err := handshake(buffered, id, acceptorRole, dialerRole)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED))
}

// queuedConn queues writes without waiting for the reader, like a socket.
type queuedConn struct {
	net.Conn
	out chan []byte
}

func (c *queuedConn) Write(b []byte) (int, error) {
	c.out <- bytes.Clone(b)
	return len(b), nil
}

func (c *queuedConn) drain() {
	for b := range c.out {
		if _, err := c.Conn.Write(b); err != nil {
			return
		}
	}
}

func FuzzFrame(f *testing.F) {
	var valid bytes.Buffer
	_ = writeFrame(&valid, &lilacv1.LinkFrame{Body: &lilacv1.LinkFrame_Status{Status: &lilacv1.LinkStatus{Message: "m"}}})
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame := &lilacv1.LinkFrame{}
		if readFrame(bytes.NewBuffer(data), frame) == nil {
			_ = fault.FromStatus(frame.GetStatus())
		}
	})
}
