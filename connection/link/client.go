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
	// redialPause keeps a dead peer from costing a dial for every call.
	redialPause = 200 * time.Millisecond
	// keepAlive finds a silently cut connection within about twice this time,
	// once a call waits on it.
	keepAlive = 2 * time.Second
)

// Client calls one other process over a single connection, dialled when first
// needed and again after it breaks.
type Client struct {
	address string
	id      Identity
	dialer  func(ctx context.Context, address string) (net.Conn, error)
	// life ends with Close.
	life context.Context
	end  context.CancelFunc

	mu      sync.Mutex
	session *session
	// dialing is nil if no dial runs.
	dialing *dialing
	failed  time.Time
	failure error
	closed  bool
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client for host:port; it dials nothing yet.
func NewClient(address string, id Identity) *Client {
	life, end := context.WithCancel(context.Background())
	return &Client{address: address, id: id, dialer: dialTCP, life: life, end: end}
}

// Address returns the host:port that the client calls.
func (c *Client) Address() string { return c.address }

// ErrNotSent marks a failure before any byte of the call was written.
var ErrNotSent = errors.New("not sent")

func unavailable(err error, address string, sent error) error {
	return fault.Wrap(errors.Join(err, sent), lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no answer from "+address+"; check that the process runs and the network between")
}

// dialing is a dial that runs; session and err are set before done is closed.
type dialing struct {
	done    chan struct{}
	session *session
	err     error
}

// session is a yamux session and what its writes pass through.
type session struct {
	*yamux.Session
	out *gathering
}

// connect returns the live session, or waits for the one dial that serves all
// calls.
//
// It guards against a frozen peer, whose kernel accepts the connection while
// nobody answers the handshake: every caller would wait for the whole handshake
// timeout, one after another, and long past its own deadline. It holds because
// the dial runs in the background with a time limit of its own, no lock is held
// meanwhile, and each caller waits no longer than its context.
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
	if c.dialing == nil && c.failure != nil && time.Since(c.failed) < redialPause {
		defer c.mu.Unlock()
		return nil, c.failure
	}
	if c.dialing == nil {
		c.dialing = &dialing{done: make(chan struct{})}
		go c.dial(c.dialing)
	}
	d := c.dialing
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial ends within the limits of dial and handshake, or when the client closes.
func (c *Client) dial(d *dialing) {
	session, err := c.establish()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.dialing = nil
	if err == nil && c.closed {
		session.Close()
		err = net.ErrClosed
	}
	if err != nil {
		c.failed, c.failure, d.err = time.Now(), err, err
		return
	}
	c.session, c.failure, d.session = session, nil, session
}

func (c *Client) establish() (*session, error) {
	conn, err := c.dialer(c.life, c.address)
	if err != nil {
		return nil, err
	}
	conn = c.id.Traffic.counted(conn)
	// Close ends a handshake that is under way.
	stop := context.AfterFunc(c.life, func() { conn.Close() })
	defer stop()
	if _, _, err := handshake(conn, c.id, dialerRole, acceptorRole); err != nil {
		conn.Close()
		return nil, err
	}
	out := newGathering(conn)
	muxed, err := yamux.Client(out, sessionConfig())
	if err != nil {
		return nil, err
	}
	go keepSession(muxed, out)
	return &session{muxed, out}, nil
}

// dialTimes are how long the tries of one dial may take. The kernel sends an opening
// packet that is lost again only after a second: a process that dials one that is just
// starting would meet it a second after it is there.
var dialTimes = []time.Duration{
	250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, 500 * time.Millisecond,
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var err error
	for _, limit := range dialTimes {
		dialer := net.Dialer{Timeout: limit}
		var conn net.Conn
		if conn, err = dialer.DialContext(ctx, "tcp", address); err == nil {
			return conn, nil
		}
		var timeout net.Error
		if ctx.Err() != nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return nil, err
		}
	}
	return nil, err
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = keepAlive
	config.StreamOpenTimeout = 0
	return config
}

type clientStream struct {
	conn   *yamux.Stream
	out    *gathering
	ended  bool
	reader *bufio.Reader
	bytes  *countedReader
	stop   func() bool
	// requested is by clock.Boot.
	requested time.Duration
}

// countedReader counts what is read.
type countedReader struct {
	io.Reader
	read atomic.Uint64
}

// Read implements io.Reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read.Add(uint64(n))
	return n, err
}

// Open dials if needed, and sends the request. Failures before the first byte
// wrap ErrNotSent.
func (c *Client) Open(ctx context.Context, method string, req proto.Message) (Stream, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	session, err := c.connect(ctx)
	if err != nil {
		return nil, unavailable(err, c.address, ErrNotSent)
	}
	conn, err := session.OpenStream()
	if err != nil {
		return nil, unavailable(err, c.address, ErrNotSent)
	}
	session.out.streams.add(conn)
	open := &lilacv1.LinkOpen{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		open.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	// An expired context unblocks reads and writes at once.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	counted := &countedReader{Reader: conn}
	s := &clientStream{conn: conn, out: session.out, reader: bufio.NewReader(counted), bytes: counted, stop: stop, requested: clock.Boot()}
	if err := writeFrames(conn, open, messageFrame(payload)); err != nil {
		s.Close()
		return nil, unavailable(err, c.address, nil)
	}
	return s, nil
}

// Call opens a stream and reads its single answer.
func (c *Client) Call(ctx context.Context, method string, req, resp proto.Message) error {
	err := callOver(ctx, c, method, req, resp)
	if err != nil && ctx.Err() != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no answer in time from "+c.address)
	}
	return err
}

// Close ends the connection and refuses further calls.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.end()
	if c.session == nil {
		return nil
	}
	return c.session.Close()
}

// Recv reads the next message; io.EOF after the closing status of a call that
// went well, else its error.
func (s *clientStream) Recv(m proto.Message) error {
	frame := &lilacv1.LinkFrame{}
	if err := readFrame(s.reader, frame); err != nil {
		return unavailable(errors.Join(err, io.ErrUnexpectedEOF), s.conn.RemoteAddr().String(), nil)
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
func (s *clientStream) RequestedAt() time.Duration { return s.requested }

// BytesReceived implements Stream.
func (s *clientStream) BytesReceived() uint64 { return s.bytes.read.Load() }

// Close gives the stream up; the answering side's context ends.
func (s *clientStream) Close() error {
	s.stop()
	err := s.conn.Close()
	s.out.streams.remove(s.conn)
	if !s.ended {
		s.out.flush()
	}
	return err
}
