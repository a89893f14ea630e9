package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Local calls a Mux of the same process and encodes and decodes every message as on the
// network. Tests under testing/synctest use it, since yamux shares timers between bubbles.
type Local struct {
	Mux  *Mux
	Self Peer
}

var _ Caller = (*Local)(nil)

type localStream struct {
	messages chan []byte
	done     chan error
	cancel   context.CancelFunc
	received atomic.Uint64
	// requestedAt is a time of clock.Boot.
	requestedAt time.Duration
}

// Open starts the handler in a new goroutine; Close of the stream cancels its context.
func (l *Local) Open(ctx context.Context, method string, req proto.Message) (Stream, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &localStream{messages: make(chan []byte), done: make(chan error, 1), cancel: cancel, requestedAt: clock.Boot()}
	send := func(m proto.Message) error {
		b, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		select {
		case s.messages <- b:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	x := &Exchange{Peer: l.Self, payload: payload, send: send}
	go func() {
		err := l.Mux.serve(ctx, method, x)
		if err == nil && x.answer != nil {
			err = send(x.answer)
		}
		s.done <- err
	}()
	return s, nil
}

// Call implements Caller.
func (l *Local) Call(ctx context.Context, method string, req, resp proto.Message) error {
	return callOver(ctx, l, method, req, resp)
}

// Recv implements Stream.
func (s *localStream) Recv(m proto.Message) error {
	select {
	case b := <-s.messages:
		s.received.Add(uint64(len(b)))
		return proto.Unmarshal(b, m)
	case err := <-s.done:
		s.done <- err
		if err == nil {
			return io.EOF
		}
		return fault.FromStatus(fault.ToStatus(err))
	}
}

// RequestedAt implements Stream.
func (s *localStream) RequestedAt() time.Duration { return s.requestedAt }

// BytesReceived implements Stream.
func (s *localStream) BytesReceived() uint64 { return s.received.Load() }

// Close cancels the handler's context.
func (s *localStream) Close() error {
	s.cancel()
	return nil
}

// callOver makes a unary call over a stream.
func callOver(ctx context.Context, c Caller, method string, req, resp proto.Message) error {
	s, err := c.Open(ctx, method, req)
	if err != nil {
		return err
	}
	defer s.Close()
	err = s.Recv(resp)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if stream, ok := s.(*clientStream); ok && err == nil {
		// The closing status arrives with the answer and carries no further information.
		stream.ended = true
	}
	return err
}
