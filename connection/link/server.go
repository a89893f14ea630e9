package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
)

// acceptRetryInterval is the pause after an accept that failed for a lack that may pass.
const acceptRetryInterval = 20 * time.Millisecond

// passingErrors are errors of an accept after which others may succeed.
var passingErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// Server accepts connections of other processes and dispatches their streams to a Mux.
type Server struct {
	id  Identity
	mux *Mux
	// OnHandshakeError is called for each connection whose handshake failed; may be nil.
	OnHandshakeError func(remote string, err error)
	// Handshakes bounds the connections whose handshakes are in progress; nil for no bound.
	Handshakes *connguard.Guard

	mu sync.Mutex
	// conns maps each open connection to the key that its peer proved; nil until then.
	conns  map[net.Conn][]byte
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a Server that dispatches to mux.
func NewServer(id Identity, mux *Mux) *Server {
	return &Server{id: id, mux: mux, conns: make(map[net.Conn][]byte)}
}

// Serve accepts connections until the listener or the server is closed, and then returns
// nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case slices.ContainsFunc(passingErrors, func(passing error) bool { return errors.Is(err, passing) }):
			time.Sleep(acceptRetryInterval)
			continue
		case err != nil:
			return err
		}
		conn = s.id.Traffic.counted(conn)
		if !s.track(conn) {
			conn.Close()
			return nil
		}
		go s.serveConn(conn)
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = nil
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	handshakeEnded, admitted := s.Handshakes.Admit(conn)
	if !admitted {
		return
	}
	peer, key, err := handshake(conn, s.id, acceptorRole, dialerRole)
	handshakeEnded()
	if err != nil {
		if s.OnHandshakeError != nil {
			s.OnHandshakeError(conn.RemoteAddr().String(), err)
		}
		return
	}
	s.setKey(conn, key)
	out := newCoalescingConn(conn)
	session, err := yamux.Server(out, sessionConfig())
	if err != nil {
		return
	}
	defer session.Close()
	go keepSessionAlive(session, out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveStream(ctx, peer, stream, out)
		}()
	}
}

func (s *Server) serveStream(ctx context.Context, peer Peer, stream *yamux.Stream, out *coalescingConn) {
	out.streams.add(stream)
	defer func() {
		stream.Close()
		out.streams.remove(stream)
	}()
	reader := bufio.NewReader(stream)
	open, frame := &lilacv1.LinkOpen{}, &lilacv1.LinkFrame{}
	if err := errors.Join(readFrame(reader, open), readFrame(reader, frame)); err != nil {
		// No status is sent, so the peer waits for the close of the stream.
		stream.Close()
		out.flush()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if open.GetTimeoutMs() > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(open.GetTimeoutMs())*time.Millisecond)
		defer stop()
	}
	x := &Exchange{Peer: peer, RequestID: open.GetRequestId(), payload: frame.GetMessage()}
	if h := s.mux.connHandler(open.GetMethod()); h != nil {
		s.forwardConn(ctx, h, x, stream, reader)
		return
	}
	// The caller sends nothing further, so the read ends when it closes the stream.
	go func() {
		defer cancel()
		reader.ReadByte()
	}()
	x.send = func(m proto.Message) error {
		payload, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		return writeFrame(stream, messageFrame(payload))
	}
	err := s.mux.serve(ctx, open.GetMethod(), x)
	_ = writeFrames(stream, x.finalFrames(err)...)
}

func (s *Server) setKey(conn net.Conn, key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[conn]; open {
		s.conns[conn] = key
	}
}

// CloseRevokedConns closes the connections that were authenticated with a key that is no
// longer accepted. After a leaked key is replaced, its holder could otherwise keep using
// connections opened before. Connections whose handshake is in progress are closed as
// well; their processes dial again.
func (s *Server) CloseRevokedConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.id.Keys()
	for conn, key := range s.conns {
		if !keys.Contains(key) {
			conn.Close()
		}
	}
}

// Close closes all connections and waits for their handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}
