// Package packets counts the TCP packets of a process's connections by the
// kernel's own account, so that what their headers cost is known.
package packets

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// HeaderBytes is what each packet carries besides its data: 20 bytes of IPv4, 20
// of TCP and 12 of timestamps. The few packets that open a connection have up to
// 8 more.
const HeaderBytes = 52

// A connection that is closed from this side still sends its end, and receives an
// acknowledgement; the other side's own end has come before, most times.
const (
	sentAtEnd     = 1
	receivedAtEnd = 1
)

// Counter counts packets, acknowledgements and repeated ones included. The zero
// value is ready; any goroutine may use it.
type Counter struct {
	mu             sync.Mutex
	open           map[net.Conn]struct{}
	sent, received uint64
}

// Track adds the connection. Those that the kernel keeps no account of, such as
// pipes in tests, count as nothing.
func (c *Counter) Track(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]struct{})
	}
	c.open[conn] = struct{}{}
}

// Untrack must be called before the connection is closed; more than once is no fault.
func (c *Counter) Untrack(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[conn]; !open {
		return
	}
	delete(c.open, conn)
	sent, received, ok := account(conn)
	if ok {
		c.sent += sent + sentAtEnd
		c.received += received + receivedAtEnd
	}
}

// Packets returns what was sent and received so far on all connections.
func (c *Counter) Packets() (sent, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, received = c.sent, c.received
	for conn := range c.open {
		s, r, _ := account(conn)
		sent, received = sent+s, received+r
	}
	return sent, received
}

// account asks the kernel; it tells false for a connection without an account.
func account(conn net.Conn) (sent, received uint64, ok bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, false
	}
	var info *unix.TCPInfo
	failed := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if failed != nil || err != nil {
		return 0, 0, false
	}
	return uint64(info.Segs_out), uint64(info.Segs_in), true
}
