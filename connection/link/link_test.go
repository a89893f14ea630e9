package link

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

func testMux() *Mux {
	mux := NewMux()
	mux.Handle("echo", Unary(func(_ context.Context, peer Peer, req *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
		return &lilacv1.QueryReply{Instance: req.GetSubject(), DataCenter: peer.DataCenter}, nil
	}))
	mux.Handle("refuse", func(context.Context, *Exchange) error {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "ask the leader", fault.WithLeader("127.0.0.1:1"),
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE), fault.WithRetryAfter(1500*time.Millisecond))
	})
	mux.Handle("three", func(_ context.Context, x *Exchange) error {
		for range 3 {
			if err := x.Send(&lilacv1.QueryReply{}); err != nil {
				return err
			}
		}
		return nil
	})
	return mux
}

func serve(t *testing.T, key string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer(Identity{Peer: Peer{Process: "s", DataCenter: "dc"}, Keys: secret.StaticKeys([]byte(key))}, testMux())
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close(); server.Close() })
	return listener.Addr().String()
}

func callers(t *testing.T) map[string]Caller {
	peer := Peer{Process: "c", DataCenter: "dakar-a"}
	client := NewClient(serve(t, "one key of all"), Identity{Peer: peer, Keys: secret.StaticKeys([]byte("one key of all"))})
	t.Cleanup(func() { client.Close() })
	return map[string]Caller{"network": client, "local": &Local{Mux: testMux(), Self: peer}}
}

func TestCallsAndStreams(t *testing.T) {
	for name, caller := range callers(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reply := &lilacv1.QueryReply{}
			is.NoErr(caller.Call(t.Context(), "echo", &lilacv1.QueryRequest{Subject: "x"}, reply))
			is.Equal(reply.GetInstance(), "x")
			is.Equal(reply.GetDataCenter(), "dakar-a")

			err := caller.Call(t.Context(), "refuse", &lilacv1.QueryRequest{}, reply)
			is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER))
			is.Equal(fault.LeaderOf(err), "127.0.0.1:1")
			is.Equal(fault.NotRunOf(err), lilacv1.NotRun_NOT_RUN_TRUE)
			is.Equal(fault.RetryAfterOf(err), 1500*time.Millisecond)

			is.True(fault.Is(caller.Call(t.Context(), "none", &lilacv1.QueryRequest{}, reply), lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))

			stream, err := caller.Open(t.Context(), "three", &lilacv1.QueryRequest{})
			is.NoErr(err)
			for range 3 {
				is.NoErr(stream.Recv(reply))
			}
			is.Equal(stream.Recv(reply), io.EOF)
			is.NoErr(stream.Close())
		})
	}
}

// An attacker calls a state process with a different key. The connection must end before
// any handler runs, and the caller must receive an error.
func TestOtherKeyIsRefused(t *testing.T) {
	is := is.New(t)
	client := NewClient(serve(t, "one key of all"), Identity{Keys: secret.StaticKeys([]byte("another key"))})
	defer client.Close()
	err := client.Call(t.Context(), "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{})
	is.True(err != nil)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE))
}

// keyring is a set of keys that changes at run time, like a key file that is reloaded.
type keyring struct{ keys atomic.Pointer[secret.Keys] }

func (k *keyring) set(keys ...string) {
	var all secret.Keys
	for _, key := range keys {
		all = append(all, []byte(key))
	}
	k.keys.Store(&all)
}

func (k *keyring) get() secret.Keys { return *k.keys.Load() }

// The shared key has leaked. The operator adds a new key, makes it the first and removes
// the old one, each step at one process after the other. No call may fail meanwhile, and
// after the old key is removed no connection that was opened with it may be used.
func TestKeyRotationWithoutRestart(t *testing.T) {
	const oldKey, newKey = "the key of before", "the key of after"
	is := is.New(t)
	var serverKeys, clientKeys keyring
	serverKeys.set(oldKey)
	clientKeys.set(oldKey)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(Identity{Peer: Peer{Process: "s"}, Keys: serverKeys.get}, testMux())
	go server.Serve(listener)
	defer func() { listener.Close(); server.Close() }()
	dial := func(keys func() secret.Keys) *Client {
		client := NewClient(listener.Addr().String(), Identity{Peer: Peer{Process: "c"}, Keys: keys})
		t.Cleanup(func() { client.Close() })
		return client
	}
	call := func(client *Client) error {
		return client.Call(t.Context(), "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{})
	}
	attacker := dial(secret.StaticKeys([]byte(oldKey)))
	is.NoErr(call(attacker))
	for _, keys := range [][]string{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		for _, ring := range []*keyring{&serverKeys, &clientKeys} {
			is.NoErr(call(dial(clientKeys.get)))
			ring.set(keys...)
			is.NoErr(call(dial(clientKeys.get)))
		}
	}
	server.CloseRevokedConns()
	is.True(call(attacker) != nil)
	is.True(call(dial(secret.StaticKeys([]byte(oldKey)))) != nil)
	is.NoErr(call(dial(clientKeys.get)))
}

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// Guards against a process that serves no links any more after it had no descriptor for one.
func TestServerAcceptsAfterALackOfDescriptors(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(testIdentity, testMux())
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&failingListener{listener, []error{syscall.EMFILE, syscall.ECONNABORTED}})
	}()
	t.Cleanup(func() { server.Close(); listener.Close() })
	client := NewClient(listener.Addr().String(), testIdentity)
	defer client.Close()
	answered := make(chan error, 1)
	go func() {
		answered <- client.Call(t.Context(), "echo", &lilacv1.QueryRequest{Subject: "x"}, &lilacv1.QueryReply{})
	}()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case err := <-answered:
		is.NoErr(err)
	}
}
