package link

import (
	"net"
	"sync/atomic"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

// Traffic counts the bytes of a process's links, framing included, without
// packet headers, and the packets. Any goroutine may read it.
type Traffic struct {
	sent, received atomic.Uint64
	packets        packets.Counter
}

// Bytes returns what was sent and received so far.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Packets returns how many packets were sent and received so far.
func (t *Traffic) Packets() (sent, received uint64) { return t.packets.Packets() }

// counted returns the connection with its bytes added to t, which may be nil.
func (t *Traffic) counted(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	t.packets.Track(conn)
	return &countedConn{Conn: conn, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.traffic.packets.Untrack(c.Conn)
	return c.Conn.Close()
}
