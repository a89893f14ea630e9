package connguard

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/lilacbridge/lilacbridge/process/logs"
)

// Guard is the account of the connections of some servers, safe for concurrent use.
//
// Lock order: Guard.mu and conn.mu are never held together.
type Guard struct {
	limits Limits
	log    *logs.Log

	// mu guards the fields below.
	mu     sync.Mutex
	core   *Core
	counts [rejections]uint64
	short  bool
}

// New returns a Guard. log may be nil.
func New(limits Limits, log *logs.Log) *Guard {
	return &Guard{limits: limits, log: log, core: NewCore(limits)}
}

// Stats returns the present state and the counts.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats()
}

// Rejected returns how many requests were answered with the rejection.
func (g *Guard) Rejected(r Rejection) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts[r]
}

func (g *Guard) countRejection(r Rejection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[r]++
}

// Protect has a server handle the requests of connections that its listener, which Listen returned,
// accepts. It must be called before the server is started.
func Protect(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveRequest(next, w, r) })
	// The connections have their own limits, which may change while the server runs.
	server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout = maxLibraryHeaderBytes, 0, 0
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*conn)
		switch {
		case ok && state == http.StateActive:
			c.reading.Store(false)
		case ok && state == http.StateIdle:
			c.endRequest()
		}
	}
}

// Listen returns a listener that accepts the connections of l by the account.
func (g *Guard) Listen(l net.Listener, policy Policy) net.Listener { return &listener{l, g, policy} }

// listener accepts connections by the account.
type listener struct {
	net.Listener
	guard  *Guard
	policy Policy
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(nc, l.policy); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// open returns the connection in the account, or nil if there is no room for it.
func (g *Guard) open(nc net.Conn, policy Policy) *conn {
	c := &conn{Conn: nc, guard: g, policy: policy}
	c.awaitHead()
	var crowded bool
	if c.member, crowded = g.openMember(nc, c.evict); c.member == nil {
		return nil
	}
	if buffered, ok := nc.(interface{ SetReadBuffer(int) error }); ok && crowded {
		// A connection keeps its usual buffer if this fails.
		_ = buffered.SetReadBuffer(crowdedReadBuffer)
	}
	return c
}

// openMember adds a connection to the account, and evicts another one if that is needed. It returns
// nil if there is no room.
func (g *Guard) openMember(nc net.Conn, onEvict func()) (m *Member, crowded bool) {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	g.mu.Lock()
	m, evicted := g.core.Open(host)
	if m != nil {
		m.onEvict = onEvict
	}
	crowded = g.core.Crowded()
	g.logShortage(m == nil || evicted != nil)
	g.mu.Unlock()
	if evicted != nil {
		evicted.onEvict()
	}
	return m, crowded
}

// Admit accounts for a connection of another kind of server until ended is called. It returns false
// if there is no room for it, and closes the connection if others need its room. A nil Guard admits
// all.
func (g *Guard) Admit(nc net.Conn) (ended func(), ok bool) {
	if g == nil {
		return func() {}, true
	}
	m, _ := g.openMember(nc, func() { nc.Close() })
	if m == nil {
		return nil, false
	}
	return func() { g.change(func(core *Core) { core.Close(m) }) }, true
}

// charge adds to what the head of the connection takes, and reports whether there is room.
func (g *Guard) charge(m *Member, bytes int64) bool {
	g.mu.Lock()
	ok, evicted := g.core.Charge(m, bytes)
	if !ok || len(evicted) > 0 {
		g.logShortage(true)
	}
	g.mu.Unlock()
	for _, other := range evicted {
		other.onEvict()
	}
	return ok
}

// change changes the account of a connection.
func (g *Guard) change(do func(*Core)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.core)
	if g.short && g.core.Roomy() {
		g.logShortage(false)
	}
}

// logShortage logs the begin or the end of a shortage. The caller holds mu.
func (g *Guard) logShortage(short bool) {
	if g.short == short || !short && !g.core.Roomy() {
		return
	}
	g.short = short
	message := "room for connections and heads of requests is short"
	if !short {
		message = "room for connections and heads of requests is there again"
	}
	stats := g.core.Stats()
	g.log.Line(logs.StateChange, message, "connections", stats.Connections, "max_connections", g.limits.Connections,
		"head_bytes", stats.HeadBytes, "max_head_bytes", g.limits.HeadBytes, "refused", stats.Refused, "evicted", stats.Evicted)
}

type connKey struct{}

// serveRequest has a request handled, unless its connection must close.
func serveRequest(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	if !c.beginRequest() {
		if hijacked, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.respond(NoRoom)
			hijacked.Close()
		}
		return
	}
	next.ServeHTTP(w, r)
}

// Release records that the head of a request is accounted for elsewhere. ctx is the request's.
func Release(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.guard.change(func(core *Core) { core.Release(c.member) })
	}
}
