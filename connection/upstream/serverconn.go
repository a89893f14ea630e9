package upstream

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of the kernel.
const tcpClose = 7

// serverConn is a direct TCP connection to a backend server. Its Read returns io.EOF only if the
// server closed the connection regularly.
//
// The kernel reports a reset once. If a write of the request gets that report, a read of the
// response gets io.EOF, by which a body without a length would be complete.
type serverConn struct {
	net.Conn
	writeFailed atomic.Bool
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && (c.writeFailed.Load() || c.isReset()) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *serverConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// isReset reports whether the connection is closed in both directions, or by this process meanwhile,
// as after a failed write. After a regular end of the server's bytes only that direction is.
func (c *serverConn) isReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	closed := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset || closed != nil
}
