package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

const (
	dialTimeout = 2 * time.Second
	// routedDialTimeout bounds a new connection for a routed request: several ways
	// between regions. A machine without power answers nothing, and until a byte
	// went out another server may take the request.
	routedDialTimeout = 400 * time.Millisecond
	// A server behind a silent cut is noticed after keepAliveIdle plus
	// keepAliveCount times keepAliveGap.
	keepAliveIdle  = 5 * time.Second
	keepAliveGap   = 2 * time.Second
	keepAliveCount = 3
	// idleTimeout is below the 5 s after which common servers close a kept
	// connection, so that no request meets one that is being closed.
	idleTimeout = 4 * time.Second
	// recentIdle is how long a connection may have been idle that carries a request which
	// must not be repeated: servers announce timeouts in whole seconds, and none that was
	// in use just now is about to be closed.
	recentIdle = 900 * time.Millisecond
	// distrustFor is how long such requests have connections of their own at a server
	// that answered a request with another's answer.
	distrustFor     = 10 * time.Second
	idlePerServer   = 64
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 4 << 10
	// maxAddresses bounds what a pool remembers; beyond, it learns anew.
	maxAddresses = 16384
)

// pool holds the connections of one kind of calls. Those to servers that are
// known to echo request ids are kept, all others serve one call.
type pool struct {
	// idHeader carries a request's id there and back.
	idHeader string
	kept     *http.Client
	recent   *http.Client
	fresh    *http.Client
	// sent and received count the bytes of all connections.
	sent, received atomic.Uint64
	packets        packets.Counter

	mu sync.Mutex
	// echoes tells by host:port whether the server echoes. One answer without
	// the echo is believed for good.
	echoes map[string]bool
	// distrusted tells by host:port until when a server's answers may be late.
	distrusted map[string]time.Time
}

func newPool(idHeader string) *pool {
	p := &pool{idHeader: idHeader, echoes: make(map[string]bool), distrusted: make(map[string]time.Time)}
	once := p.transport(idleTimeout)
	once.DisableKeepAlives = true
	p.kept = &http.Client{Transport: p.transport(idleTimeout), CheckRedirect: noRedirect}
	p.recent = &http.Client{Transport: p.transport(recentIdle), CheckRedirect: noRedirect}
	p.fresh = &http.Client{Transport: once, CheckRedirect: noRedirect}
	return p
}

func (p *pool) transport(idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: p.dialTimeout(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveGap, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			p.packets.Track(conn)
			return &trackedConn{Conn: conn, pool: p}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

func (p *pool) dialTimeout() time.Duration {
	if p.idHeader != RequestIDHeader {
		return routedDialTimeout
	}
	return dialTimeout
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// clientFor returns the client whose connections fit what is known of the server.
func (p *pool) clientFor(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.echoes[address] {
		return p.kept
	}
	return p.fresh
}

// recentFor returns the client for requests that must not be repeated.
func (p *pool) recentFor(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.echoes[address] && time.Now().After(p.distrusted[address]) {
		return p.recent
	}
	return p.fresh
}

// distrust notes that the server gave an answer that belongs to another request.
func (p *pool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.distrusted) >= maxAddresses {
		clear(p.distrusted)
	}
	p.distrusted[address] = time.Now().Add(distrustFor)
}

// learn notes whether an answer of the server carried its request's id.
func (p *pool) learn(address string, echoed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, seen := p.echoes[address]
	if seen && (known == echoed || !known) {
		return
	}
	if len(p.echoes) >= maxAddresses {
		clear(p.echoes)
	}
	p.echoes[address] = echoed
}

// trackedConn reports its writes to the attempt that uses it, and counts bytes.
type trackedConn struct {
	net.Conn
	pool    *pool
	attempt atomic.Pointer[Attempt]
}

func (c *trackedConn) Write(b []byte) (int, error) {
	if a := c.attempt.Load(); a != nil && !a.mayWrite() {
		return 0, ErrSealed
	}
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(uint64(n))
	return n, err
}

func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(uint64(n))
	return n, err
}

func (c *trackedConn) Close() error {
	c.pool.packets.Untrack(c.Conn)
	return c.Conn.Close()
}
