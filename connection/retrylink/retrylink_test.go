package retrylink

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// failing is the connection to an instance that is gone, or silent.
type failing struct {
	link.Caller
	silent bool
}

func (f failing) Call(ctx context.Context, _ string, _, _ proto.Message) error {
	if f.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "gone")
}

// Guards against an instance that waits for the answer of one that is gone, silent, unknown or
// lends more than it was asked for.
func TestEachInstanceAskedIsAnsweredFor(t *testing.T) {
	for name, c := range map[string]struct {
		lends, want int
		after       time.Duration
	}{
		"generous": {9, 2, 0},
		"poor":     {0, 0, 0},
		"exact":    {2, 2, 0},
		"gone":     {2, 0, 0},
		"silent":   {2, 0, callTimeout},
		"unknown":  {2, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				mux := link.NewMux()
				lender := New(Options{Lend: func(_ context.Context, pool string, wanted int) int {
					is.Equal(pool, "desk")
					is.Equal(wanted, 2)
					return c.lends
				}})
				lender.Register(mux)
				answers := make(chan int, 1)
				began := time.Now()
				borrower := New(Options{
					Dial: func(address string) link.Caller {
						if address == "gone" || address == "silent" {
							return failing{silent: address == "silent"}
						}
						return &link.Local{Mux: mux}
					},
					OnAnswer: func(pool string, count int, askedAt time.Time) {
						is.Equal(pool, "desk")
						is.Equal(askedAt, began)
						answers <- count
					},
				})
				if name != "unknown" {
					borrower.SetPeers([]member.Peer{{Name: name, Address: name}})
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					borrower.Run(ctx)
					close(done)
				}()
				synctest.Wait()
				borrower.Ask([]string{name}, "desk", 2)
				is.Equal(<-answers, c.want)
				is.Equal(time.Since(began), c.after)
				cancel()
				<-done
				borrower.Ask([]string{name}, "desk", 2) // asks nobody once it is closed
				synctest.Wait()
				is.Equal(len(answers), 0)
			})
		})
	}
}
