package connguard

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a crowd whose bytes stay unread while its requests wait: the kernel's buffers count
// toward the memory of the process.
func TestBuffersOfACrowdAreSmall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	guarded := New(Limits{Connections: 800, HeadBytes: 1 << 20}, nil).Listen(listener, Policy{})
	for number := range 120 {
		client, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer client.Close()
		accepted, err := guarded.Accept()
		is.NoErr(err)
		defer accepted.Close()
		// The kernel doubles the size that is asked for.
		crowded := number >= 800/crowdDivisor
		is.Equal(readBuffer(t, accepted.(*conn).Conn) <= 2*crowdedReadBuffer, crowded)
	}
}

func readBuffer(t *testing.T, nc net.Conn) (size int) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	is.New(t).NoErr(err)
	is.New(t).NoErr(raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}))
	is.New(t).NoErr(err)
	return size
}
