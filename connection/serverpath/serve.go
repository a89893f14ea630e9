package serverpath

import (
	"context"
	"net"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// Method is the link method that forwards a connection.
	Method = "entry.connect"
	// maxServed is how many connections an instance forwards at a time, so that callers of
	// other instances leave room for its own.
	maxServed = 256
	// serveDialTimeout bounds the dial to the server, so that the asking instance has time
	// to ask another one.
	serveDialTimeout = 250 * time.Millisecond
	// drainPollInterval is how often Drain checks for open connections.
	drainPollInterval = 50 * time.Millisecond
)

// Register adds the method to mux. direct dials backend servers.
func (d *Dialer) Register(mux *link.Mux, direct DialFunc) {
	mux.HandleConn(Method, func(ctx context.Context, x *link.Exchange) (net.Conn, error) {
		req := &lilacv1.ConnectRequest{}
		if err := x.Request(req); err != nil {
			return nil, err
		}
		return d.serve(ctx, direct, req.GetAddress())
	})
}

// serve dials a backend server for another instance. It never asks a third one.
func (d *Dialer) serve(ctx context.Context, direct DialFunc, address string) (net.Conn, error) {
	if _, known := d.options.DataCenter(address); !known {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN, "%s is not a backend server of this instance's configuration; wait until both instances have the same one", address)
	}
	if d.leaving.Load() {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance is shutting down; ask another one")
	}
	if !d.mayDial(address) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance has no path to the server either; ask another one")
	}
	if d.open.Add(1) > maxServed {
		d.open.Add(-1)
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "this instance forwards as many connections as it may; ask another one")
	}
	ctx, cancel := context.WithTimeout(ctx, serveDialTimeout)
	defer cancel()
	conn, err := direct(ctx, "tcp", address)
	d.recordDirect(address, err, false)
	if err != nil {
		d.open.Add(-1)
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "the server does not accept connections from this instance either")
	}
	d.served.Add(1)
	return &servedConn{Conn: conn, dialer: d}, nil
}

func (d *Dialer) mayDial(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.MayDial(time.Now(), address)
}

// servedConn is a connection that this instance forwards for another one.
type servedConn struct {
	net.Conn
	dialer *Dialer
	closed bool
}

// Close implements net.Conn.
func (c *servedConn) Close() error {
	c.dialer.mu.Lock()
	counted := !c.closed
	c.closed = true
	c.dialer.mu.Unlock()
	if counted {
		c.dialer.open.Add(-1)
	}
	return c.Conn.Close()
}

// Drain refuses new connections and waits until those that this instance forwards have
// ended, or until ctx ends: they carry requests of other instances.
func (d *Dialer) Drain(ctx context.Context) {
	d.leaving.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Counts returns the number of connections that other instances have forwarded for this
// one, and that this one has forwarded for others.
func (d *Dialer) Counts() (forwarded, served uint64) { return d.forwarded.Load(), d.served.Load() }
