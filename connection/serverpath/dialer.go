package serverpath

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// forwardTimeout bounds the opening of a forwarded connection, including that of the link to
// the other instance.
const forwardTimeout = time.Second

// DialFunc opens a TCP connection to host:port.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Dialer.
type Options struct {
	Self Peer
	// Connector returns the link to another instance.
	Connector func(address string) link.Connector
	// DataCenter returns the data centre of the backend server at an address, and false if
	// there is no such server.
	DataCenter func(address string) (string, bool)
	// OnLost is called when the direct path to a server is lost; may be nil.
	OnLost func(address string)
	Logger hclog.Logger
}

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	options Options
	// forwarded counts connections that another instance forwards for this one, served
	// those that this one forwards for others; open is the number of the latter now.
	forwarded, served atomic.Uint64
	open              atomic.Int64
	leaving           atomic.Bool

	// mu guards the fields below.
	mu   sync.Mutex
	core *Core
}

// New returns a Dialer that knows no other instances.
func New(o Options) *Dialer {
	if o.OnLost == nil {
		o.OnLost = func(string) {}
	}
	return &Dialer{options: o, core: NewCore(o.Self)}
}

// SetPeers replaces the live instances.
func (d *Dialer) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetPeers(peers)
}

// Retain forgets the servers for which keep returns false.
func (d *Dialer) Retain(keep func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Retain(keep)
}

// IsLost reports whether the direct path to the server is lost.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.IsLost(address)
}

// LostPaths returns the number of servers whose direct path is lost.
func (d *Dialer) LostPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.LostPaths()
}

// dialled is the outcome of one way to open a connection.
type dialled struct {
	conn net.Conn
	err  error
	// forwarder is empty for the direct dial.
	forwarder string
}

// open returns the connection of a way that succeeded.
func (r dialled) open() net.Conn {
	if r.forwarder == "" {
		return r.conn
	}
	return &forwardedConn{Conn: r.conn, forwarder: r.forwarder}
}

// forwardedConn is a connection that another instance forwards for this one.
type forwardedConn struct {
	net.Conn
	forwarder string
}

// Forwarder returns the name of the other instance.
func (c *forwardedConn) Forwarder() string { return c.forwarder }

// dial is the opening of one connection.
type dial struct {
	dialer           *Dialer
	direct           DialFunc
	network, address string
	plan             Plan
	// forwarders are the instances that are left to ask; nil until the first is asked.
	forwarders []Peer
	results    chan dialled
	// pending is the number of ways that have no outcome yet.
	pending int
	// directErr and forwarderErr are the errors of the direct dial and of the last
	// instance that was asked.
	directErr, forwarderErr error
	// forwarded is true if another instance reached the server, unreached is how many did
	// not.
	forwarded bool
	unreached int
}

// Dial opens a connection by direct, or through another instance if that fails or takes
// long.
func (d *Dialer) Dial(ctx context.Context, direct DialFunc, network, address string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.core.Plan(time.Now(), address)
	d.mu.Unlock()
	one := &dial{
		dialer: d, direct: direct, network: network, address: address, plan: plan,
		results: make(chan dialled, maxForwarders+1),
	}
	return one.run(ctx)
}

func (o *dial) run(ctx context.Context) (net.Conn, error) {
	if o.plan.Direct {
		o.startDirect(ctx)
	} else {
		o.startForwarder(ctx)
	}
	fallback := time.NewTimer(o.plan.FallbackAfter)
	defer fallback.Stop()
	for o.pending > 0 && !o.serverIsDown() {
		select {
		case <-fallback.C:
			o.startForwarder(ctx)
			fallback.Reset(doubtfulDelay)
		case r := <-o.results:
			o.record(r)
			if r.err == nil {
				o.finish()
				return r.open(), nil
			}
			if r.forwarder != "" || o.pending == 0 {
				o.startForwarder(ctx)
			}
		case <-ctx.Done():
			o.finish()
			return nil, ctx.Err()
		}
	}
	o.finish()
	return nil, o.err()
}

// serverIsDown reports whether this instance and two others agree that the server does not
// respond. All were asked before the direct dial timed out, and one that reaches the server
// would have answered.
func (o *dial) serverIsDown() bool {
	return os.IsTimeout(o.directErr) && o.unreached >= 2 && !o.plan.Doubtful
}

// err returns the error of a dial in which every way failed.
func (o *dial) err() error {
	if o.directErr != nil {
		return o.directErr
	}
	if o.forwarderErr == nil {
		return &net.OpError{Op: "dial", Net: o.network, Err: syscall.EHOSTUNREACH}
	}
	return &net.OpError{Op: "dial", Net: o.network, Err: &forwardError{o.forwarderErr}}
}

// forwardError is why another instance did not forward a connection. It hides the cause: a broken
// link to that instance is no broken connection of the server.
type forwardError struct{ cause error }

// Error implements error.
func (e *forwardError) Error() string { return e.cause.Error() }

func (o *dial) startDirect(ctx context.Context) {
	o.pending++
	// The outcome is of use also after another instance has forwarded the connection.
	ctx = context.WithoutCancel(ctx)
	go func() {
		conn, err := o.direct(ctx, o.network, o.address)
		o.results <- dialled{conn: conn, err: err}
	}()
}

// startForwarder asks the next instance, if any is left.
func (o *dial) startForwarder(ctx context.Context) {
	if o.forwarders == nil {
		d := o.dialer
		dataCenter, _ := d.options.DataCenter(o.address)
		d.mu.Lock()
		o.forwarders = d.core.Forwarders(time.Now(), o.address, dataCenter)
		d.mu.Unlock()
	}
	if len(o.forwarders) == 0 || ctx.Err() != nil {
		return
	}
	peer := o.forwarders[0]
	o.forwarders = o.forwarders[1:]
	o.pending++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		conn, err := o.dialer.options.Connector(peer.Address).Connect(ctx, Method, &lilacv1.ConnectRequest{Address: o.address})
		o.results <- dialled{conn: conn, err: err, forwarder: peer.Name}
	}()
}

// record notes an outcome for later dials.
func (o *dial) record(r dialled) {
	o.pending--
	d := o.dialer
	switch {
	case r.forwarder == "":
		o.directErr = r.err
	case r.err == nil:
		o.forwarded = true
		d.forwarded.Add(1)
	case fault.Is(r.err, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED):
		o.unreached, o.forwarderErr = o.unreached+1, r.err
	default:
		o.forwarderErr = r.err
		d.mu.Lock()
		d.core.ForwarderFailed(time.Now(), r.forwarder)
		d.mu.Unlock()
	}
}

// finish records the state of the direct path once all ways have an outcome. It does not
// wait; the connections of ways that are still pending are closed.
func (o *dial) finish() {
	if o.pending > 0 {
		go o.awaitPending()
		return
	}
	if o.plan.Direct {
		o.dialer.recordDirect(o.address, o.directErr, o.forwarded)
	}
}

func (o *dial) awaitPending() {
	for o.pending > 0 {
		r := <-o.results
		o.record(r)
		if r.conn != nil {
			r.conn.Close()
		}
	}
	o.finish()
}

// recordDirect notes the outcome of a direct dial and logs a change of the path.
func (d *Dialer) recordDirect(address string, err error, forwarded bool) {
	d.mu.Lock()
	change := d.core.Dialled(time.Now(), address, err == nil, forwarded)
	lost := d.core.LostPaths()
	d.mu.Unlock()
	switch change {
	case Lost:
		d.options.Logger.Warn("path to backend server lost; other instances forward connections", "address", address, "error", err, "lost_paths", lost)
		d.options.OnLost(address)
	case Restored:
		d.options.Logger.Info("path to backend server restored", "address", address, "lost_paths", lost)
	}
}
