// Package link carries typed calls and streams between lilacbridge processes, as
// length-prefixed protobuf messages over yamux and TCP.
//
// Each side of a connection proves that it holds a shared key before any call is served.
// Every call is a stream of its own, so a slow answer does not block others.
package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// MaxFrame is the largest message between two processes, in bytes; larger data is sent in
// parts.
const MaxFrame = 4 << 20

// Caller makes calls to one other process. Client implements it over the network, Local
// within a process, for tests.
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
	// BytesReceived returns the number of bytes received so far, including those of an
	// incomplete message. It may be called concurrently with Recv.
	BytesReceived() uint64
	// RequestedAt returns the time of clock.Boot before the request was written: the
	// answering process received it later.
	RequestedAt() time.Duration
	Close() error
}

// Peer identifies the process at the other end, by the name that it gave in the handshake.
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
	// answer is the answer of a Unary handler; it is sent together with the closing status.
	answer proto.Message
}

// Request decodes the caller's message into m.
func (x *Exchange) Request(m proto.Message) error {
	if err := proto.Unmarshal(x.payload, m); err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "cannot decode the message of another process; run one version on all instances")
	}
	return nil
}

// Send writes one answer to the caller; it blocks while the caller does not read.
func (x *Exchange) Send(m proto.Message) error { return x.send(m) }

// Handler serves one stream; its error becomes the closing status. The context ends with
// the connection, when the caller closes the stream, or at the caller's timeout.
type Handler func(ctx context.Context, x *Exchange) error

// Mux maps methods to their handlers.
type Mux struct {
	// mu guards the fields below.
	mu           sync.RWMutex
	handlers     map[string]Handler
	connHandlers map[string]ConnHandler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{handlers: make(map[string]Handler), connHandlers: make(map[string]ConnHandler)}
}

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
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "unknown method %q; check that the address belongs to the right kind of process", method)
	}
	return h(ctx, x)
}

// Message is the constraint for a pointer to the generated message type T.
type Message[T any] interface {
	*T
	proto.Message
}

// Unary adapts a function with one request and one answer to a Handler.
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

// finalFrames returns the last frames of the stream: the answer of a Unary handler, if any,
// and the closing status.
func (x *Exchange) finalFrames(err error) []proto.Message {
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
