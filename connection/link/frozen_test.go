package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// A process is frozen: the kernel still accepts connections, but nothing answers the
// handshake. A caller whose context has ended must return immediately, even though another
// caller without a deadline waits for the handshake.
func TestExpiredCallerDoesNotWaitForDial(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client := NewClient(listener.Addr().String(), Identity{Keys: secret.StaticKeys([]byte("one key of all"))})
	pending := make(chan error, 1)
	go func() {
		_, err := client.Open(context.Background(), "echo", &lilacv1.QueryRequest{})
		pending <- err
	}()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Open(ctx, "echo", &lilacv1.QueryRequest{})
	is.True(errors.Is(err, context.Canceled))
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(len(pending), 0)

	is.NoErr(client.Close())
	is.True(errors.Is(<-pending, ErrNotSent))
}

// With simulated time, each caller of a frozen peer returns exactly at its own deadline.
// All callers share one dial; after it has failed, a call dials again only once redialDelay
// has passed.
func TestCallersOfFrozenPeerKeepTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var dials atomic.Int32
		client := NewClient("frozen:1", Identity{Keys: secret.StaticKeys([]byte("one key of all"))})
		client.dialer = func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			near, _ := net.Pipe() // nothing reads the far end
			return near, nil
		}
		started := time.Now()
		waits := make(chan time.Duration)
		for i := range 10 {
			limit := time.Duration(i+1) * 100 * time.Millisecond
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				err := client.Call(ctx, "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{})
				is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT))
				waits <- time.Since(started) - limit
			}()
		}
		for range 10 {
			is.Equal(<-waits, time.Duration(0))
		}
		is.Equal(dials.Load(), int32(1))

		err := client.Call(t.Context(), "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{})
		is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE))
		is.Equal(time.Since(started), handshakeTimeout)
		// Within redialDelay the same error is returned without another dial.
		is.True(client.Call(t.Context(), "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{}) != nil)
		is.Equal(dials.Load(), int32(1))

		time.Sleep(redialDelay)
		waiting := make(chan error, 1)
		go func() {
			_, err := client.Open(t.Context(), "echo", &lilacv1.QueryRequest{})
			waiting <- err
		}()
		synctest.Wait()
		is.Equal(dials.Load(), int32(2))
		is.NoErr(client.Close())
		is.True(errors.Is(<-waiting, ErrNotSent))
		is.Equal(time.Since(started), handshakeTimeout+redialDelay)
	})
}
