package link

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

// The header of a yamux frame: version, type, flags, stream, length; see the
// specification of yamux, version 0.
const (
	yamuxHeader       = 12
	yamuxTypeAt       = 1
	yamuxFlagsAt      = 2
	yamuxLengthAt     = 8
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxReset        = 8
	// maxHeld is how many bytes may be held back: a few headers of streams that
	// begin or end, far fewer than the streams that yamux lets wait for a word.
	maxHeld = 16 * yamuxHeader
	// maxCopied is the largest body that is joined with its header, in bytes; a
	// larger one takes many packets anyway.
	maxCopied = 16 << 10
)

// gathering joins the small writes of a session into fewer packets.
//
// It guards against control that costs more in headers than in messages: yamux
// writes the header and the body of a frame apart, and a frame of its own for
// the beginning and the end of a stream, so that one call takes about twelve
// writes and as many acknowledgements. It shows as a relay of digests above its
// cap for control. It holds because a header waits for its body, and a stream's
// beginning or end for the next write: the beginning is followed by the request
// at once, and nobody waits for the end of a stream whose status was read. What
// is waited for, such as a window's update or a reset, goes at once, and so does
// the end of a call that was given up (flush). What is held while nothing else
// is written goes within twice keepAlive (flushOld).
//
// Only the session's own goroutine writes; flush may come from any.
type gathering struct {
	net.Conn

	mu   sync.Mutex
	held []byte
	// body is true while the next write is the body of a frame.
	body bool
	// old is true when what is held was held at the last flushOld too.
	old bool

	silence silence
	streams openStreams
}

func newGathering(conn net.Conn) *gathering {
	return &gathering{Conn: conn, silence: silence{begun: time.Now()}}
}

// Close gives up the session's streams and closes the connection.
func (g *gathering) Close() error {
	g.streams.end()
	return g.Conn.Close()
}

func (g *gathering) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.silence.heard()
	return n, err
}

// Write takes a header or a body. It tells nothing of a failure of what it
// holds: the next write does.
func (g *gathering) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isBody := g.body
	g.body = !isBody && hasBody(b)
	if len(b) > maxCopied {
		if err := g.release(); err != nil {
			return 0, err
		}
		return g.Conn.Write(b)
	}
	g.held = append(g.held, b...)
	if g.body || !isBody && mayWait(b) && len(g.held) < maxHeld {
		return len(b), nil
	}
	if err := g.release(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// flush sends what is held, unless the body of its last frame is still to come.
func (g *gathering) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.body {
		// A connection that fails here fails the session's next write as well.
		_ = g.release()
	}
}

// flushOld sends what is held since the last call.
func (g *gathering) flushOld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.old && !g.body {
		_ = g.release()
	}
	g.old = len(g.held) > 0
}

// release writes what is held; g.mu is held.
func (g *gathering) release() error {
	if len(g.held) == 0 {
		return nil
	}
	_, err := g.Conn.Write(g.held)
	g.old = false
	g.held = g.held[:0]
	return err
}

func hasBody(header []byte) bool {
	return len(header) == yamuxHeader && header[yamuxTypeAt] == yamuxData && length(header) > 0
}

// mayWait tells whether the frame only begins or ends a stream.
func mayWait(header []byte) bool {
	if len(header) != yamuxHeader || header[yamuxTypeAt] != yamuxWindowUpdate || length(header) > 0 {
		return false
	}
	return binary.BigEndian.Uint16(header[yamuxFlagsAt:])&yamuxReset == 0
}

func length(header []byte) uint32 { return binary.BigEndian.Uint32(header[yamuxLengthAt:]) }
