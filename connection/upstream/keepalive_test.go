package upstream

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a TCP_USER_TIMEOUT that closes connections to sound servers before their
// keep-alive probes have failed, and against connections that hang for many minutes on a silent
// path because bytes are not acknowledged.
func TestUserTimeoutAgreesWithKeepAlive(t *testing.T) {
	var wrong atomic.Bool
	url, _ := echoServer(t, &wrong)
	client := NewClient()
	defer client.Close()
	for name, p := range map[string]*pool{"requests": client.requests, "control": client.control} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := p.dial(t.Context(), "tcp", url[len("http://"):])
			is.NoErr(err)
			defer conn.Close()
			option := func(number int) (value int) {
				raw, err := conn.(syscall.Conn).SyscallConn()
				is.NoErr(err)
				is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, number) }))
				is.NoErr(err)
				return value
			}
			probes := option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPCNT)*option(unix.TCP_KEEPINTVL)
			is.Equal(time.Duration(option(unix.TCP_USER_TIMEOUT))*time.Millisecond, time.Duration(probes)*time.Second)
		})
	}
}
