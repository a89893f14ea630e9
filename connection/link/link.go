// Package link carries typed calls and streams between lilacbridge's own
// processes: yamux over TCP, protobuf messages with a length before each.
//
// Each side of a connection proves that it holds the shared key before any
// call. Every call is one stream, so a slow answer holds up no other.
package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// MaxFrame is the largest message between two processes, in bytes; larger
// states are sent in parts.
const MaxFrame = 4 << 20

// Caller makes calls to one other process. Client is the one over the network,
// Local the one for tests.
type Caller interface {
	// Call sends req and waits for the single answer.
	Call(ctx context.Context, method string, req, resp proto.Message) error
	// Open sends req and returns the stream of answers; the caller closes it.
	Open(ctx context.Context, method string, req proto.Message) (Stream, error)
}

// Stream is a sequence of messages from the answering process.
type Stream interface {
	// Recv reads the next message; io.EOF after a regular end.
	Recv(m proto.Message) error
	// BytesReceived counts the bytes that have come so far, those of a message that is
	// not whole yet included. It may be called beside Recv.
	BytesReceived() uint64
	// RequestedAt is when the request was written, by clock.Boot: the answering
	// process got it later.
	RequestedAt() time.Duration
	Close() error
}

// Peer is the process at the other end, as it named itself once the key was proved.
type Peer struct {
	Process    string
	DataCenter string
}

// Exchange is the answering side of one stream.
type Exchange struct {
	Peer      Peer
	RequestID string
	payload   []byte
	send      func(proto.Message) error
	// answer is the single one of a Unary, which goes with the closing status.
	answer proto.Message
}

// Request decodes the caller's message into m.
func (x *Exchange) Request(m proto.Message) error {
	if err := proto.Unmarshal(x.payload, m); err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "message between processes does not decode; run one version on all instances")
	}
	return nil
}

// Send writes one answer.
func (x *Exchange) Send(m proto.Message) error { return x.send(m) }

// Handler answers one stream; its error becomes the closing status. The
// context ends with the connection or the caller's timeout.
type Handler func(ctx context.Context, x *Exchange) error

// Mux finds the handler of a method. Handlers are added before it serves.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: make(map[string]Handler)} }

// Handle sets the handler of a method.
func (m *Mux) Handle(method string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

func (m *Mux) serve(ctx context.Context, method string, x *Exchange) error {
	m.mu.RLock()
	h, ok := m.handlers[method]
	m.mu.RUnlock()
	if !ok {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "no method %q here; check that the address belongs to the right kind of process", method)
	}
	return h(ctx, x)
}

// Message is satisfied by a pointer to a generated message type.
type Message[T any] interface {
	*T
	proto.Message
}

// Unary makes a Handler of a function with one request and one answer.
func Unary[Req any, PReq Message[Req], Resp proto.Message](f func(ctx context.Context, peer Peer, req PReq) (Resp, error)) Handler {
	return func(ctx context.Context, x *Exchange) error {
		req := PReq(new(Req))
		if err := x.Request(req); err != nil {
			return err
		}
		resp, err := f(ctx, x.Peer, req)
		if err != nil {
			return err
		}
		x.answer = resp
		return nil
	}
}

// ending returns the last frames of the stream: the answer that is left, and the
// closing status.
func (x *Exchange) ending(err error) []proto.Message {
	var frames []proto.Message
	if err == nil && x.answer != nil {
		var payload []byte
		payload, err = proto.Marshal(x.answer)
		if err == nil {
			frames = append(frames, messageFrame(payload))
		}
	}
	return append(frames, &lilacv1.LinkFrame{Body: &lilacv1.LinkFrame_Status{Status: fault.ToStatus(err)}})
}
