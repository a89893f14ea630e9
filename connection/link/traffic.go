package link

import (
	"net"
	"sync/atomic"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

// Traffic counts the bytes of a process's links, including framing but not packet headers,
// and the packets. It is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Uint64
	packets        packets.Counter
}

// Bytes returns the numbers of bytes sent and received so far.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Packets returns the numbers of packets sent and received so far.
func (t *Traffic) Packets() (sent, received uint64) { return t.packets.Packets() }

// counted wraps conn so that its traffic is added to t. If t is nil, it returns conn.
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
