package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// redialDelay is the minimum time between a failed dial and the next one, so that
	// calls to a dead peer do not each dial.
	redialDelay = 200 * time.Millisecond
	// keepAliveInterval determines how soon a connection that was cut without notice is
	// detected while a call waits on it: within about twice this time.
	keepAliveInterval = 2 * time.Second
)

// Client calls one other process over a single connection, which it dials on first use
// and again after a failure. It is safe for concurrent use.
type Client struct {
	address string
	id      Identity
	dialer  func(ctx context.Context, address string) (net.Conn, error)
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	session *session
	// pendingDial is nil if no dial is in progress.
	pendingDial *pendingDial
	// renewing is true while Renew dials.
	renewing bool
	// dialErr is the error of the last dial, nil if it succeeded; failedAt is its time.
	failedAt time.Time
	dialErr  error
	closed   bool
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client for host:port without dialling it. The caller closes it.
func NewClient(address string, id Identity) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{address: address, id: id, dialer: dialTCP, ctx: ctx, cancel: cancel}
}

// Address returns the host:port that the client calls.
func (c *Client) Address() string { return c.address }

// ErrNotSent is wrapped by errors that occur before any byte of the call is written.
var ErrNotSent = errors.New("not sent")

// unavailableError wraps err, and notSent unless it is nil.
func unavailableError(err error, address string, notSent error) error {
	return fault.Wrap(errors.Join(err, notSent), lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no answer from "+address+"; check that the process is running and reachable over the network")
}

// pendingDial is a dial in progress; session and err are set before done is closed.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

// session is a yamux session and the connection that it writes to.
type session struct {
	*yamux.Session
	out *coalescingConn
}

// connect returns the open session, or waits for the dial that all calls share.
//
// The kernel of a frozen peer accepts connections although no process answers the
// handshake. Callers must not wait for the handshake timeout one after another, past
// their own deadlines. So the dial runs in the background with its own timeouts, no lock
// is held meanwhile, and each caller waits no longer than its context allows.
func (c *Client) connect(ctx context.Context) (*session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	if c.session != nil && !c.session.IsClosed() {
		defer c.mu.Unlock()
		return c.session, nil
	}
	if c.pendingDial == nil && c.dialErr != nil && time.Since(c.failedAt) < redialDelay {
		defer c.mu.Unlock()
		return nil, c.dialErr
	}
	if c.pendingDial == nil {
		c.pendingDial = &pendingDial{done: make(chan struct{})}
		go c.dial(c.pendingDial)
	}
	d := c.pendingDial
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial establishes a session and completes d. It is bounded by the timeouts of the TCP
// dial and the handshake, and ends early when the client is closed.
func (c *Client) dial(d *pendingDial) {
	session, err := c.establish()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.pendingDial = nil
	if err == nil && c.closed {
		session.Close()
		err = net.ErrClosed
	}
	if err != nil {
		c.failedAt, c.dialErr, d.err = time.Now(), err, err
		return
	}
	c.session, c.dialErr, d.session = session, nil, session
}

// Renew replaces the connection by a new one if nothing has been read from it for the given
// time. It does not wait for the new one.
//
// A connection that went silent without a reset looks like one to a slow peer. It is therefore
// used until the peer has answered on the new one, and kept if it has been read from by then.
func (c *Client) Renew(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.renewing || c.session == nil || c.session.IsClosed() || c.session.out.readActivity.idle() < idle {
		return
	}
	c.renewing = true
	go c.renew(c.session, idle)
}

func (c *Client) renew(old *session, idle time.Duration) {
	// The old connection serves on after an error; its keep-alive ends it if it is cut.
	fresh, err := c.establish()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = false
	if err != nil {
		return
	}
	// A call that found the old connection closed has dialled as well.
	redialled := c.session != old || c.pendingDial != nil
	if c.closed || redialled || old.out.readActivity.idle() < idle {
		fresh.Close()
		return
	}
	c.session = fresh
	old.Close()
}

func (c *Client) establish() (*session, error) {
	conn, err := c.dialer(c.ctx, c.address)
	if err != nil {
		return nil, err
	}
	conn = c.id.Traffic.counted(conn)
	// Close interrupts a handshake in progress.
	stop := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer stop()
	if _, _, err := handshake(conn, c.id, dialerRole, acceptorRole); err != nil {
		conn.Close()
		return nil, err
	}
	out := newCoalescingConn(conn)
	muxed, err := yamux.Client(out, sessionConfig())
	if err != nil {
		return nil, err
	}
	go keepSessionAlive(muxed, out)
	return &session{muxed, out}, nil
}

// dialTimeouts are the timeouts of the successive attempts of one dial. The kernel
// retransmits a lost SYN only after a second, which would delay the connection to a
// process that is just starting by as much.
var dialTimeouts = []time.Duration{
	250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, 500 * time.Millisecond,
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var err error
	for _, timeout := range dialTimeouts {
		dialer := net.Dialer{Timeout: timeout}
		var conn net.Conn
		if conn, err = dialer.DialContext(ctx, "tcp", address); err == nil {
			return conn, nil
		}
		var netErr net.Error
		if ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return nil, err
		}
	}
	return nil, err
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = keepAliveInterval
	config.StreamOpenTimeout = 0
	return config
}

type clientStream struct {
	conn *yamux.Stream
	out  *coalescingConn
	// ended is true once the peer has nothing more to send.
	ended  bool
	reader *bufio.Reader
	bytes  *countedReader
	// stop detaches the stream from the caller's context.
	stop func() bool
	// requestedAt is a time of clock.Boot.
	requestedAt time.Duration
}

// countedReader counts the bytes that are read from Reader.
type countedReader struct {
	io.Reader
	count atomic.Uint64
}

// Read implements io.Reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.count.Add(uint64(n))
	return n, err
}

// Open dials if needed, and sends the request. Errors that occur before the first byte is
// written wrap ErrNotSent.
func (c *Client) Open(ctx context.Context, method string, req proto.Message) (Stream, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	session, err := c.connect(ctx)
	if err != nil {
		return nil, unavailableError(err, c.address, ErrNotSent)
	}
	conn, err := session.OpenStream()
	if err != nil {
		return nil, unavailableError(err, c.address, ErrNotSent)
	}
	session.out.streams.add(conn)
	open := &lilacv1.LinkOpen{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		open.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	// A deadline in the past unblocks pending reads and writes when ctx ends.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	counted := &countedReader{Reader: conn}
	s := &clientStream{conn: conn, out: session.out, reader: bufio.NewReader(counted), bytes: counted, stop: stop, requestedAt: clock.Boot()}
	if err := writeFrames(conn, open, messageFrame(payload)); err != nil {
		s.Close()
		return nil, unavailableError(err, c.address, nil)
	}
	return s, nil
}

// Call sends the request and reads the single answer. It returns a TIMEOUT error if ctx
// ends first.
func (c *Client) Call(ctx context.Context, method string, req, resp proto.Message) error {
	err := callOver(ctx, c, method, req, resp)
	if err != nil && ctx.Err() != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "timed out waiting for an answer from "+c.address)
	}
	return err
}

// Close closes the connection; further calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	if c.session == nil {
		return nil
	}
	return c.session.Close()
}

// Recv reads the next message. After the closing status it returns io.EOF if the call
// succeeded, and the error of the call otherwise.
func (s *clientStream) Recv(m proto.Message) error {
	frame := &lilacv1.LinkFrame{}
	if err := readFrame(s.reader, frame); err != nil {
		return unavailableError(errors.Join(err, io.ErrUnexpectedEOF), s.conn.RemoteAddr().String(), nil)
	}
	if status := frame.GetStatus(); status != nil {
		s.ended = true
		if err := fault.FromStatus(status); err != nil {
			return err
		}
		return io.EOF
	}
	return proto.Unmarshal(frame.GetMessage(), m)
}

// RequestedAt implements Stream.
func (s *clientStream) RequestedAt() time.Duration { return s.requestedAt }

// BytesReceived implements Stream.
func (s *clientStream) BytesReceived() uint64 { return s.bytes.count.Load() }

// Close aborts the stream; the context of the handler at the peer ends.
func (s *clientStream) Close() error {
	s.stop()
	err := s.conn.Close()
	s.out.streams.remove(s.conn)
	if !s.ended {
		s.out.flush()
	}
	return err
}
