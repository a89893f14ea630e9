package link

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

// Offsets and values of a yamux frame header, which consists of version, type, flags,
// stream and length; see the specification of yamux, version 0.
const (
	yamuxHeader       = 12
	yamuxTypeAt       = 1
	yamuxFlagsAt      = 2
	yamuxLengthAt     = 8
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxReset        = 8
	// maxBuffered bounds the delayed bytes: headers of a few streams that open or
	// close, far fewer than the streams that yamux allows to await acknowledgement.
	maxBuffered = 16 * yamuxHeader
	// maxCopied is the largest body in bytes that is copied behind its header; a larger
	// one takes many packets in any case.
	maxCopied = 16 << 10
)

// coalescingConn joins the small writes of a session into fewer packets.
//
// yamux writes the header and the body of a frame separately, and separate frames for
// opening and closing a stream, so that one call takes about twelve writes and as many
// acknowledgements. The packet headers then outweigh the messages, and a relay of
// digests exceeds its limit for control traffic.
//
// So a header is delayed until its body is written, and a frame that only opens or closes
// a stream until the next write. An opening frame is followed by the request immediately,
// and no caller waits for the close of a stream whose status was read. Frames that the peer
// may wait for, such as window updates and resets, are sent immediately, and so is the
// close of an aborted call (flush). Bytes that are delayed while nothing else is written
// are sent within twice keepAliveInterval (flushStale).
//
// Only the session's own goroutine calls Write; any goroutine may call flush.
type coalescingConn struct {
	net.Conn

	// mu guards the fields below up to stale.
	mu       sync.Mutex
	buffered []byte
	// expectBody is true while the next write is the body of a frame.
	expectBody bool
	// stale is true if bytes were already buffered at the last flushStale.
	stale bool

	readActivity readActivity
	streams      openStreams
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	return &coalescingConn{Conn: conn, readActivity: readActivity{started: time.Now()}}
}

// Close aborts the session's streams and closes the connection.
func (c *coalescingConn) Close() error {
	c.streams.abortAll()
	return c.Conn.Close()
}

func (c *coalescingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readActivity.touch()
	return n, err
}

// Write takes exactly one header or one body. An error in sending buffered bytes is
// reported by a later Write.
func (c *coalescingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isBody := c.expectBody
	c.expectBody = !isBody && hasBody(b)
	if len(b) > maxCopied {
		if err := c.writeBuffered(); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	c.buffered = append(c.buffered, b...)
	if c.expectBody || !isBody && canDelay(b) && len(c.buffered) < maxBuffered {
		return len(b), nil
	}
	if err := c.writeBuffered(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// flush sends the buffered bytes, unless they end with a header whose body is missing.
func (c *coalescingConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expectBody {
		// A connection that fails here fails the session's next write as well.
		_ = c.writeBuffered()
	}
}

// flushStale sends the buffered bytes if some were already buffered at its last call.
func (c *coalescingConn) flushStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stale && !c.expectBody {
		_ = c.writeBuffered()
	}
	c.stale = len(c.buffered) > 0
}

// writeBuffered sends the buffered bytes. The caller holds g.mu.
func (c *coalescingConn) writeBuffered() error {
	if len(c.buffered) == 0 {
		return nil
	}
	_, err := c.Conn.Write(c.buffered)
	c.stale = false
	c.buffered = c.buffered[:0]
	return err
}

func hasBody(header []byte) bool {
	return len(header) == yamuxHeader && header[yamuxTypeAt] == yamuxData && length(header) > 0
}

// canDelay reports whether the frame only opens or closes a stream.
func canDelay(header []byte) bool {
	if len(header) != yamuxHeader || header[yamuxTypeAt] != yamuxWindowUpdate || length(header) > 0 {
		return false
	}
	return binary.BigEndian.Uint16(header[yamuxFlagsAt:])&yamuxReset == 0
}

func length(header []byte) uint32 { return binary.BigEndian.Uint32(header[yamuxLengthAt:]) }
