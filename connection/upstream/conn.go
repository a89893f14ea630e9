package upstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// largeUploadBytes is the size of the smallest request body whose writes are bounded. The
// kernel accepts smaller ones at once.
const largeUploadBytes = 16 << 10

// ErrUploadStalled is the error of a request whose body the server stopped reading.
var ErrUploadStalled = errors.New("backend server accepted no more of the request body")

// errPathLost is the error of a write to a connection that was closed while it was idle.
var errPathLost = errors.New("idle connection was closed, since the path to the server is lost")

// The states of a connection. One that is idle may be closed; from then on it writes nothing.
const (
	connBusy uint64 = iota
	connIdle
	connClosed
	// connStates is the number of states.
	connStates
)

// trackedConn asks the current attempt before each write, and counts bytes and packets.
type trackedConn struct {
	net.Conn
	pool    *pool
	address string
	number  uint64
	// state is connStates times the number of requests that have used the connection, plus one of
	// the states above.
	state   atomic.Uint64
	attempt atomic.Pointer[Attempt]
	// reading is true during a read, ended once a read has failed.
	reading, ended atomic.Bool
	// head checks the response of the use headUse. Both are used only by the reader.
	head    head
	headUse uint64
	// checked is the last use whose response has a valid head; headErr is why one has none.
	checked atomic.Uint64
	headErr atomic.Pointer[error]
	// writeTimeout bounds each write; 0 for no bound. It is set while no write is in progress.
	writeTimeout time.Duration
}

func (c *trackedConn) Write(b []byte) (int, error) {
	if c.state.Load()%connStates == connClosed {
		return 0, errPathLost
	}
	if a := c.attempt.Load(); a != nil && !a.beginWrite() {
		return 0, ErrAbandoned
	}
	if c.writeTimeout > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(uint64(n))
	if c.writeTimeout > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w for %v", ErrUploadStalled, c.writeTimeout)
	}
	return n, err
}

func (c *trackedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	if err != nil {
		c.ended.Store(true)
	}
	c.reading.Store(false)
	c.pool.received.Add(uint64(n))
	if headErr := c.checkHead(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// checkHead checks bytes that were read, as far as they are the head of a response.
func (c *trackedConn) checkHead(b []byte) error {
	if use := c.state.Load() / connStates; use != c.headUse {
		c.head.reset()
		c.headUse = use
	}
	if err := c.head.scan(b); err != nil {
		c.headErr.Store(&err)
		return err
	}
	if c.head.part == headEnded {
		c.checked.Store(c.headUse)
	}
	return nil
}

// headError returns why the response to the use is not an answer; nil for one with a valid head.
func (c *trackedConn) headError(use uint64) error {
	if err := c.headErr.Load(); err != nil {
		return *err
	}
	if c.checked.Load() != use {
		return &NotAnswerError{Reason: "they came before the request was sent"}
	}
	return nil
}

// hasSurplus reports, at Close, whether the server sent more than its answer. net/http always
// reads from an idle connection. If it closes one without a read in progress and without an error,
// it has received bytes that belong to no request.
func (c *trackedConn) hasSurplus() bool {
	return c.state.Load()%connStates == connIdle && !c.reading.Load() && !c.ended.Swap(true)
}

func (c *trackedConn) Close() error {
	if c.hasSurplus() {
		c.pool.onSurplus(c.address)
	}
	c.pool.untrack(c)
	c.pool.packets.Untrack(c.Conn)
	return c.Conn.Close()
}

// acquire marks the connection as busy with the attempt. It returns the number of this use.
func (c *trackedConn) acquire(attempt *Attempt) (use uint64) {
	c.attempt.Store(attempt)
	for {
		old := c.state.Load()
		use = old/connStates + 1
		if old%connStates == connClosed || c.state.CompareAndSwap(old, use*connStates+connBusy) {
			break
		}
	}
	if attempt != nil {
		attempt.connect(c.Conn, Use{Connection: c.number, Number: use})
	}
	return use
}

// boundWrites bounds each write of the next request, if its body is large.
func (c *trackedConn) boundWrites(bodyBytes int64) {
	bounded := c.writeTimeout > 0
	c.writeTimeout = 0
	if bodyBytes >= largeUploadBytes {
		c.writeTimeout = c.pool.uploadStall
	}
	if bounded && c.writeTimeout == 0 {
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

// release marks the connection as idle after a use. net/http may report the end of a use after
// the beginning of the next one, during which the connection stays busy.
func (c *trackedConn) release(use uint64) {
	c.state.CompareAndSwap(use*connStates+connBusy, use*connStates+connIdle)
}

// closeIfIdle marks an idle connection as closed, and reports whether it was idle.
func (c *trackedConn) closeIfIdle() bool {
	old := c.state.Load()
	return old%connStates == connIdle && c.state.CompareAndSwap(old, old-connIdle+connClosed)
}

// connections counts the connections of this process, for their numbers.
var connections atomic.Uint64

func (p *pool) track(conn net.Conn, address string) *trackedConn {
	c := &trackedConn{Conn: conn, pool: p, address: address, number: connections.Add(1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = make(map[*trackedConn]struct{})
	}
	p.conns[address][c] = struct{}{}
	return c
}

func (p *pool) untrack(c *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// closeIdle closes the idle connections to the server. A request that is about to use one
// fails before its first byte.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	var idle []*trackedConn
	for c := range p.conns[address] {
		if c.closeIfIdle() {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
