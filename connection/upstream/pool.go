package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

const (
	dialTimeout = 2 * time.Second
	// routedDialTimeout replaces dialTimeout for routed requests. It is several times the
	// latency between regions. A machine without power does not refuse connections, and
	// another server may run the request as long as no byte of it was written.
	routedDialTimeout = 400 * time.Millisecond
	// A network partition is detected after tcpKeepAliveIdle plus tcpKeepAliveCount times
	// tcpKeepAliveInterval.
	tcpKeepAliveIdle     = 5 * time.Second
	tcpKeepAliveInterval = 2 * time.Second
	tcpKeepAliveCount    = 3
	// tcpUserTimeout bounds the time for which sent bytes stay unacknowledged. It also ends
	// keep-alive probing, so it must not be shorter than that.
	tcpUserTimeout = tcpKeepAliveIdle + tcpKeepAliveCount*tcpKeepAliveInterval
	// idleTimeout is below the 5 s after which common servers close an idle connection,
	// so that no request is sent on a connection that is being closed.
	idleTimeout = 4 * time.Second
	// maxRecentIdle is the idle timeout of connections for requests that must not be
	// repeated. Servers announce their idle timeouts in whole seconds, so that none is
	// about to close a connection that was used more recently.
	maxRecentIdle = 900 * time.Millisecond
	// distrustPeriod is how long such requests use single-use connections after a server
	// sent the response to another request.
	distrustPeriod   = 10 * time.Second
	maxIdlePerServer = 64
	maxHeaderBytes   = 64 << 10
	readBufferBytes  = 4 << 10
	// maxAddresses bounds the maps of a pool; a map that reaches it is cleared.
	maxAddresses = 16384
)

// pool holds the connections of one kind of call. Connections are reused only to servers
// that are known to echo request ids.
type pool struct {
	// uploadStall bounds each write of a large request body; 0 for no bound.
	uploadStall time.Duration
	// idHeader is the header of the request id in requests and responses.
	idHeader string
	// keepAlive reuses connections, recent those that were idle for less than
	// maxRecentIdle, singleUse none.
	keepAlive *http.Client
	recent    *http.Client
	singleUse *http.Client
	// sent and received count the bytes of all connections.
	sent, received atomic.Uint64
	packets        packets.Counter
	// direct opens a direct connection; path may open another one and is nil for none. Both
	// are set before the first request.
	direct DialFunc
	path   Path
	// onSurplus is called with the host:port of a server that sent bytes after its answer. It is
	// set before the first request.
	onSurplus func(address string)

	// mu guards the fields below.
	mu sync.Mutex
	// conns holds the open connections by host:port.
	conns map[string]map[*trackedConn]struct{}
	// echoesID records by host:port whether the server echoes request ids. A false value
	// is final, until the map is cleared.
	echoesID map[string]bool
	// distrustedUntil is the end of the distrustPeriod by host:port.
	distrustedUntil map[string]time.Time
}

// DialFunc opens a TCP connection to host:port.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func newPool(idHeader string) *pool {
	p := &pool{idHeader: idHeader, onSurplus: func(string) {}, conns: make(map[string]map[*trackedConn]struct{}), echoesID: make(map[string]bool), distrustedUntil: make(map[string]time.Time)}
	dialer := &net.Dialer{Timeout: p.dialTimeout(), Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
	}}
	p.direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &serverConn{Conn: conn}, nil
	}
	noReuse := p.transport(idleTimeout)
	noReuse.DisableKeepAlives = true
	p.keepAlive = &http.Client{Transport: p.transport(idleTimeout), CheckRedirect: noRedirect}
	p.recent = &http.Client{Transport: p.transport(maxRecentIdle), CheckRedirect: noRedirect}
	p.singleUse = &http.Client{Transport: noReuse, CheckRedirect: noRedirect}
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

func (p *pool) transport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			p.packets.Track(conn)
			return p.track(conn, address), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
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

// dial opens a connection to host:port.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.path == nil {
		return p.direct(ctx, network, address)
	}
	return p.path.Dial(ctx, p.direct, network, address)
}

// detours reports whether connections to the server depend on another process. They are
// not reused.
func (p *pool) detours(address string) bool { return p.path != nil && p.path.IsLost(address) }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// clientFor returns the client for requests that may be repeated.
func (p *pool) clientFor(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.echoesID[address] && !p.detours(address) {
		return p.keepAlive
	}
	return p.singleUse
}

// recentClientFor returns the client for requests that must not be repeated.
func (p *pool) recentClientFor(address string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.echoesID[address] && !p.detours(address) && time.Now().After(p.distrustedUntil[address]) {
		return p.recent
	}
	return p.singleUse
}

// distrust records that the server sent the response to another request.
func (p *pool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.distrustedUntil) >= maxAddresses {
		clear(p.distrustedUntil)
	}
	p.distrustedUntil[address] = time.Now().Add(distrustPeriod)
}

// setEchoesID records whether a response of the server carried its request's id.
func (p *pool) setEchoesID(address string, echoed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, seen := p.echoesID[address]
	if seen && (known == echoed || !known) {
		return
	}
	if len(p.echoesID) >= maxAddresses {
		clear(p.echoesID)
	}
	p.echoesID[address] = echoed
}
