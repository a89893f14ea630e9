package upstream

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// directPair returns a direct connection and the server's end of it.
func directPair(t *testing.T) (conn net.Conn, server *net.TCPConn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err = NewClient().DialDirect(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// Guards against a part of an answer without a length that passes for the whole, since the server
// resets the connection while the request is still being written.
func TestResetThatAWriteReportsIsNoEndOfTheAnswer(t *testing.T) {
	is := is.New(t)
	conn, server := directPair(t)
	_, err := server.Write([]byte("part"))
	is.NoErr(err)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(conn, part)
	is.NoErr(err)
	is.NoErr(server.SetLinger(0))
	is.NoErr(server.Close())
	for err == nil {
		_, err = conn.Write(part)
	}
	_, err = conn.Read(part)
	is.True(IsBroken(err) && err != io.EOF)
}

// Guards against a reset that an error of the socket reported before, to whichever call.
func TestResetThatWasReportedBeforeIsNoEndOfTheAnswer(t *testing.T) {
	is := is.New(t)
	conn, server := directPair(t)
	is.NoErr(server.SetLinger(0))
	is.NoErr(server.Close())
	part := make([]byte, 1)
	for range 3 {
		_, err := conn.Read(part)
		is.True(IsBroken(err) && err != io.EOF)
	}
}

// Guards against a whole answer without a length that passes for a part of one.
func TestRegularEndIsTheEndOfTheAnswer(t *testing.T) {
	is := is.New(t)
	conn, server := directPair(t)
	_, err := conn.Write([]byte("request"))
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, len("request")))
	is.NoErr(err)
	_, err = server.Write([]byte("whole"))
	is.NoErr(err)
	is.NoErr(server.Close())
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), "whole")
	_, err = conn.Read(got)
	is.Equal(err, io.EOF)
}

// closingConn is closed just after the kernel has reported an end.
type closingConn struct{ *net.TCPConn }

func (c closingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err == io.EOF {
		c.Close()
	}
	return n, err
}

// Guards against an end that passes for a regular one because the connection was closed, after a
// failed write, before its state was asked for.
func TestEndOfAClosedConnectionIsNoEndOfTheAnswer(t *testing.T) {
	is := is.New(t)
	conn, server := directPair(t)
	is.NoErr(server.Close())
	_, err := (&serverConn{Conn: closingConn{conn.(*serverConn).Conn.(*net.TCPConn)}}).Read(make([]byte, 1))
	is.True(IsBroken(err) && err != io.EOF)
}
