// Package packets counts the TCP packets of a process's connections with the statistics of
// the kernel, to determine the overhead of packet headers.
package packets

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// HeaderBytes is the size of the headers of a packet: 20 bytes of IPv4, 20 of TCP and 12 of
// timestamps. The few packets that open a connection have up to 8 more.
const HeaderBytes = 52

// Packets of a connection that follow its removal from a Counter: the FIN sent by this side,
// and its acknowledgement. The FIN of the peer has usually been received before.
const (
	sentAfterUntrack     = 1
	receivedAfterUntrack = 1
)

// Counter counts packets, including acknowledgements and retransmissions. The zero value is
// ready to use. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	tracked map[net.Conn]struct{}
	// sent and received are the totals of the connections that are no longer tracked.
	sent, received uint64
}

// Track starts counting the packets of conn. Connections for which the kernel keeps no
// statistics, such as pipes in tests, are not counted.
func (c *Counter) Track(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracked == nil {
		c.tracked = make(map[net.Conn]struct{})
	}
	c.tracked[conn] = struct{}{}
}

// Untrack adds the packets of conn to the totals. It must be called before conn is closed;
// repeated calls have no effect.
func (c *Counter) Untrack(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, tracked := c.tracked[conn]; !tracked {
		return
	}
	delete(c.tracked, conn)
	sent, received, ok := segmentCounts(conn)
	if ok {
		c.sent += sent + sentAfterUntrack
		c.received += received + receivedAfterUntrack
	}
}

// Packets returns the numbers of packets sent and received so far on all connections.
func (c *Counter) Packets() (sent, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, received = c.sent, c.received
	for conn := range c.tracked {
		s, r, _ := segmentCounts(conn)
		sent, received = sent+s, received+r
	}
	return sent, received
}

// segmentCounts reads the counts of a connection from the kernel. ok is false if the kernel
// keeps none.
func segmentCounts(conn net.Conn) (sent, received uint64, ok bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0, 0, false
	}
	return uint64(info.Segs_out), uint64(info.Segs_in), true
}
