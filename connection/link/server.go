package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Server accepts connections of other processes and hands their streams to a Mux.
type Server struct {
	id  Identity
	mux *Mux
	// OnHandshakeError is told of each connection that failed the handshake; may be nil.
	OnHandshakeError func(remote string, err error)

	mu sync.Mutex
	// conns holds the key that the other end proved; nil before it has.
	conns  map[net.Conn][]byte
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a Server that answers from mux.
func NewServer(id Identity, mux *Mux) *Server {
	return &Server{id: id, mux: mux, conns: make(map[net.Conn][]byte)}
}

// Serve accepts until the listener or the server is closed, which gives nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
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
	peer, key, err := handshake(conn, s.id, acceptorRole, dialerRole)
	if err != nil {
		if s.OnHandshakeError != nil {
			s.OnHandshakeError(conn.RemoteAddr().String(), err)
		}
		return
	}
	s.proved(conn, key)
	out := newGathering(conn)
	session, err := yamux.Server(out, sessionConfig())
	if err != nil {
		return
	}
	defer session.Close()
	go keepSession(session, out)
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

func (s *Server) serveStream(ctx context.Context, peer Peer, stream *yamux.Stream, out *gathering) {
	out.streams.add(stream)
	defer func() {
		stream.Close()
		out.streams.remove(stream)
	}()
	reader := bufio.NewReader(stream)
	open, frame := &lilacv1.LinkOpen{}, &lilacv1.LinkFrame{}
	if err := errors.Join(readFrame(reader, open), readFrame(reader, frame)); err != nil {
		// Without a status the other end waits for the end of the stream.
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
	// The caller sends nothing more: the read ends when it closes the stream.
	go func() {
		defer cancel()
		reader.ReadByte()
	}()
	x := &Exchange{Peer: peer, RequestID: open.GetRequestId(), payload: frame.GetMessage()}
	x.send = func(m proto.Message) error {
		payload, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		return writeFrame(stream, messageFrame(payload))
	}
	err := s.mux.serve(ctx, open.GetMethod(), x)
	_ = writeFrames(stream, x.ending(err)...)
}

func (s *Server) proved(conn net.Conn, key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[conn]; open {
		s.conns[conn] = key
	}
}

// CloseRevokedConns ends the connections whose key is no longer in force.
//
// It guards against a key that was replaced because it leaked: whoever holds it
// could go on over a connection of before. It holds because each connection
// remembers the key that it was opened with; one whose handshake is under way
// is ended as well, and its process dials again.
func (s *Server) CloseRevokedConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.id.Keys()
	for conn, key := range s.conns {
		if !keys.Has(key) {
			conn.Close()
		}
	}
}

// Close ends all connections and waits for their handlers.
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
