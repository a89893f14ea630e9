package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// chunkBytes is the largest part of a forwarded connection's bytes in one frame.
const chunkBytes = 16 << 10

// ConnHandler opens the connection to which a stream is forwarded in both directions. The
// context bounds the opening only. An error refuses the stream.
type ConnHandler func(ctx context.Context, x *Exchange) (net.Conn, error)

// Connector opens connections that another process forwards. Client implements it.
type Connector interface {
	// Connect has the other process open a connection, and returns it once it is open. The
	// context bounds the opening only. An error means that no byte was forwarded.
	Connect(ctx context.Context, method string, req proto.Message) (net.Conn, error)
}

var _ Connector = (*Client)(nil)

// HandleConn sets the handler of a method that forwards connections.
func (m *Mux) HandleConn(method string, h ConnHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connHandlers[method] = h
}

func (m *Mux) connHandler(method string) ConnHandler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.connHandlers[method]
}

// forwardConn opens the target of the stream and forwards bytes until either end closes.
//
// The closing status distinguishes the end of the target's bytes from a failure: a response
// that ends with its connection must not look complete after a reset.
func (s *Server) forwardConn(ctx context.Context, open ConnHandler, x *Exchange, stream *yamux.Stream, reader *bufio.Reader) {
	target, err := open(ctx, x)
	if err != nil {
		_ = writeFrames(stream, x.finalFrames(err)...)
		return
	}
	if writeFrame(stream, messageFrame(nil)) != nil {
		target.Close()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !copyFrames(target, reader) {
			// sendFrames passes on what the target still sends, and its end.
			return
		}
		target.Close()
		// The caller reads no more, so a blocked write must not wait for it.
		abortStream(stream)
	}()
	err = sendFrames(stream, target)
	if !errors.Is(err, net.ErrClosed) {
		// The caller has not closed the stream and reads the status.
		_ = writeFrames(stream, x.finalFrames(err)...)
	}
	target.Close()
	stream.Close()
	<-done
}

// copyFrames writes the payload of the caller's frames to the target until either ends. It reports
// whether the caller did.
func copyFrames(target io.Writer, reader *bufio.Reader) (callerEnded bool) {
	for {
		frame := &lilacv1.LinkFrame{}
		if readFrame(reader, frame) != nil {
			return true
		}
		if _, err := target.Write(frame.GetMessage()); err != nil {
			return false
		}
	}
}

// sendFrames sends the target's bytes until it ends. It returns nil at a regular end.
func sendFrames(stream io.Writer, target io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := target.Read(buffer)
		if n > 0 {
			if err := writeFrame(stream, messageFrame(buffer[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "the forwarded connection broke")
		}
	}
}

// forwardedConn is a connection that another process forwards.
type forwardedConn struct {
	stream *clientStream
	// rest holds received bytes that were not read yet.
	rest []byte
	// end is how the other process says that the connection ended; nil before.
	end       error
	closeOnce sync.Once
}

// Connect implements Connector.
func (c *Client) Connect(ctx context.Context, method string, req proto.Message) (net.Conn, error) {
	opened, err := c.Open(ctx, method, req)
	if err != nil {
		return nil, err
	}
	stream := opened.(*clientStream)
	frame := &lilacv1.LinkFrame{}
	err = readFrame(stream.reader, frame)
	if status := frame.GetStatus(); err == nil && status != nil {
		stream.ended = true
		err = fault.FromStatus(status)
	} else if err != nil {
		err = unavailableError(err, c.address, nil)
	}
	if err == nil && !stream.stop() {
		err = ctx.Err()
	}
	if err != nil {
		stream.Close()
		return nil, err
	}
	return &forwardedConn{stream: stream}, nil
}

// Read implements net.Conn. A failure of the forwarded connection, or of the link, is ECONNRESET
// and never matches io.EOF.
func (c *forwardedConn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// receive waits for the next bytes of the connection, or for its end. It fails if the link does.
func (c *forwardedConn) receive() error {
	frame := &lilacv1.LinkFrame{}
	if err := readFrame(c.stream.reader, frame); err != nil {
		return c.broken(err)
	}
	c.rest = frame.GetMessage()
	if status := frame.GetStatus(); status != nil {
		c.end = io.EOF
		if err := fault.FromStatus(status); err != nil {
			c.end = c.broken(err)
		}
	}
	return nil
}

// broken returns the error of a read from a connection that did not end regularly.
func (c *forwardedConn) broken(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errors.Join(cause, syscall.ECONNRESET)}
}

// Write implements net.Conn.
func (c *forwardedConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		chunk := b[written:min(written+chunkBytes, len(b))]
		if err := writeFrame(c.stream.conn, messageFrame(chunk)); err != nil {
			return written, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
		written += len(chunk)
	}
	return written, nil
}

// Close implements net.Conn. The other process closes the forwarded connection.
func (c *forwardedConn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.stream.Close() })
	return err
}

// LocalAddr implements net.Conn.
func (c *forwardedConn) LocalAddr() net.Addr { return c.stream.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It is the address of the forwarding process.
func (c *forwardedConn) RemoteAddr() net.Addr { return c.stream.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *forwardedConn) SetDeadline(t time.Time) error { return c.stream.conn.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *forwardedConn) SetReadDeadline(t time.Time) error { return c.stream.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *forwardedConn) SetWriteDeadline(t time.Time) error { return c.stream.conn.SetWriteDeadline(t) }
