package connguard

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLibraryHeaderBytes keeps the limit of net/http above those of a Policy, bytes.
	maxLibraryHeaderBytes = math.MaxInt32
	// readAhead is the size of the buffer of net/http, which may read so far beyond the end of a head,
	// bytes.
	readAhead = 4 << 10
	// crowdedReadBuffer bounds what the kernel holds of what a client has sent and nobody has read,
	// where there are many clients, bytes.
	crowdedReadBuffer = 16 << 10
	// respondTimeout bounds the time to write a rejection.
	respondTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a rejection, so that a client that still
	// sends gets the answer: the kernel drops it if a connection with unread bytes is closed.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// Rejection is why a connection was closed before its request was read. The request has not run.
type Rejection int

const (
	// TooLarge is a head over the limit.
	TooLarge Rejection = iota
	// TooSlow is a head that did not arrive in time.
	TooSlow
	// NoRoom is a head for which there is no room at the moment.
	NoRoom
	rejections
)

// Rejections lists all rejections.
var Rejections = [rejections]Rejection{TooLarge, TooSlow, NoRoom}

// String returns the rejection's label.
func (r Rejection) String() string {
	return [rejections]string{"head_too_large", "head_too_slow", "no_room"}[r]
}

// HeadLimits bound one head of a request.
type HeadLimits struct {
	// Bytes is the largest head, bytes.
	Bytes int
	// Time is how long a head may take from its first byte, Idle how long a connection may be open
	// without one.
	Time, Idle time.Duration
}

// Policy is what a server asks of its clients. Its functions are called concurrently.
type Policy struct {
	// Limits returns the limits in force.
	Limits func() HeadLimits
	// Response returns the complete response of a rejection.
	Response func(r Rejection) []byte
}

// errRejected is the error of reads after a rejection.
var errRejected = errors.New("the connection was closed before its request was read")

// conn is a connection whose heads are accounted for. Its reads are not concurrent.
type conn struct {
	net.Conn
	guard  *Guard
	policy Policy
	member *Member

	// reading is true until the head of a request is complete, and again once it was handled.
	reading atomic.Bool
	// since is when the connection began to wait for a head, headSince when its first byte arrived;
	// zero before that.
	since, headSince time.Time
	// received is the number of bytes of the head.
	received int
	// rejected is set once a rejection was sent.
	rejected bool
	// last is what the last read returned. The begin of the next head may be a part of it.
	last byteCount

	// mu guards evicted, and the read deadline while reading is true.
	mu      sync.Mutex
	evicted bool
	closing sync.Once
}

// byteCount is a number of bytes and of lines.
type byteCount struct{ bytes, lines int }

func countBytes(b []byte) byteCount { return byteCount{len(b), bytes.Count(b, []byte{'\n'})} }

func (b byteCount) cost() int64 { return Cost(b.bytes, b.lines) }

// awaitHead prepares the connection for the next head.
func (c *conn) awaitHead() {
	c.since, c.headSince, c.received = time.Now(), time.Time{}, 0
	c.reading.Store(true)
}

// Read implements net.Conn. It returns no bytes of a head that exceeds a limit.
func (c *conn) Read(b []byte) (int, error) {
	if !c.reading.Load() {
		n, err := c.Conn.Read(b)
		c.last = byteCount{}
		if n <= readAhead {
			// A longer read has bypassed the buffer of net/http.
			c.last = countBytes(b[:n])
		}
		return n, err
	}
	limits := c.policy.Limits()
	if c.rejected || !c.setHeadDeadline(limits) {
		return 0, c.reject(NoRoom)
	}
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		return c.receive(b[:n], limits)
	case !errors.Is(err, os.ErrDeadlineExceeded) || c.headSince.IsZero():
		return 0, err
	case c.isEvicted():
		return 0, c.reject(NoRoom)
	}
	return 0, c.reject(TooSlow)
}

// setHeadDeadline sets the deadline of the next read. It returns false if the connection must close.
func (c *conn) setHeadDeadline(limits HeadLimits) bool {
	deadline := c.since.Add(limits.Idle)
	if !c.headSince.IsZero() {
		deadline = c.headSince.Add(limits.Time)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.Conn.SetReadDeadline(deadline)
	}
	return !c.evicted
}

// receive accounts for bytes of a head.
func (c *conn) receive(b []byte, limits HeadLimits) (int, error) {
	c.received += len(b)
	if c.received > limits.Bytes+readAhead {
		return 0, c.reject(TooLarge)
	}
	read := countBytes(b)
	cost := read.cost()
	if c.headSince.IsZero() {
		c.headSince = time.Now()
		cost += c.last.cost()
	}
	c.last = read
	if !c.guard.charge(c.member, cost) {
		return 0, c.reject(NoRoom)
	}
	return len(b), nil
}

// beginRequest records that the head is complete. It returns false if the connection must close.
func (c *conn) beginRequest() (ok bool) {
	c.guard.change(func(core *Core) { ok = core.Begin(c.member) })
	return ok
}

// endRequest records that a request was handled.
func (c *conn) endRequest() {
	c.guard.change(func(core *Core) { core.End(c.member) })
	c.awaitHead()
}

// evict ends the read in progress and all later ones.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// reject sends the rejection, unless the client has sent nothing, and returns an error upon which
// net/http closes the connection without a response of its own.
func (c *conn) reject(r Rejection) error {
	if c.received > 0 && !c.rejected {
		c.rejected = true
		c.respond(r)
		if r != NoRoom {
			c.linger()
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRejected}
}

func (c *conn) respond(r Rejection) {
	c.guard.countRejection(r)
	_ = c.SetWriteDeadline(time.Now().Add(respondTimeout))
	_, _ = c.Conn.Write(c.policy.Response(r))
}

// linger discards what the client still sends.
func (c *conn) linger() {
	_ = c.CloseWrite()
	c.mu.Lock()
	if !c.evicted {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
	c.mu.Unlock()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// CloseWrite closes the connection for writing, if it can be. net/http does so before it closes a
// connection on which the client still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger implements the method of net.TCPConn, for other connections without effect.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() { c.guard.change(func(core *Core) { core.Close(c.member) }) })
	return err
}
