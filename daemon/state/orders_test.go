package state

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/orders"
	"github.com/lilacbridge/lilacbridge/standin"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	testLease        = 600 * time.Millisecond
	testOrderTimeout = 2400 * time.Millisecond
	// slowOrderDelay is how long a slow order travels; it stays below the timeout.
	slowOrderDelay = testOrderTimeout * 9 / 10
)

// delayedEngine is a stand-in engine behind a network that can be slow.
type delayedEngine struct {
	ignoresFencing bool
	handler        http.Handler
	address        string
	// slow orders land slowOrderDelay after they were sent, whatever becomes of
	// their sender.
	slow atomic.Bool
	// sent gets the number of each order whose body came in whole.
	sent chan uint64
	// delivered gets the number of each order that the engine took or refused.
	delivered chan uint64

	mu sync.Mutex
	// effects are the numbers of the orders that the engine carried out.
	effects []uint64
}

func newDelayedEngine(t *testing.T, ignores bool) *delayedEngine {
	server := khttp.NewServer()
	standin.NewEngine(standin.EngineConfig{IgnoreFencing: ignores}).Routes(server)
	b := &delayedEngine{ignoresFencing: ignores, handler: server, sent: make(chan uint64, 100), delivered: make(chan uint64, 100)}
	front := httptest.NewServer(b)
	t.Cleanup(front.Close)
	b.address = strings.TrimPrefix(front.URL, "http://")
	return b
}

func (b *delayedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		b.handler.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	order := standin.Order{}
	if err != nil || json.Unmarshal(data, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	slow := b.slow.Load()
	b.sent <- order.Fencing
	if slow {
		time.Sleep(slowOrderDelay)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/orders", bytes.NewReader(data)))
	if recorder.Code == http.StatusOK {
		b.effects = append(b.effects, order.Fencing)
	}
	b.delivered <- order.Fencing
	w.WriteHeader(recorder.Code)
}

// waitForFencingAbove returns when an order with a greater number is told of.
func waitForFencingAbove(numbers chan uint64, fencing uint64) {
	for <-numbers <= fencing {
	}
}

// holderFreezer stops a holder between the decision on an order, which it logs, and
// the sending, and keeps its renewals back meanwhile.
type holderFreezer struct {
	hclog.Logger
	armed     bool
	decided   chan uint64
	frozen    atomic.Bool
	resume    chan struct{}
	viewCalls atomic.Int64
}

func newFreezer(armed bool) *holderFreezer {
	return &holderFreezer{Logger: hclog.NewNullLogger(), armed: armed, decided: make(chan uint64, 100), resume: make(chan struct{})}
}

func (f *holderFreezer) Info(message string, args ...any) {
	if message == "order" && f.armed {
		f.frozen.Store(true)
		f.decided <- args[len(args)-1].(uint64)
		<-f.resume
	}
}

// holder runs an order controller over the real link to the state processes.
type holder struct {
	*holderFreezer
	controller *orders.Controller
	killed     atomic.Bool
	stop       func()
}

func runHolder(t *testing.T, all []*process, name, wish string, engine *delayedEngine, f *holderFreezer) *holder {
	view, client := model.NewView(&lilacv1.Snapshot{
		Servers: []*lilacv1.Server{{Name: "r0", Address: engine.address, Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, ChecksFencing: !engine.ignoresFencing}},
		Orders:  []*lilacv1.ModelOrder{{Server: "r0", Model: wish, Loaded: true}},
	}), newClient(t, all, name)
	h := &holder{holderFreezer: f}
	h.controller = orders.New(orders.Options{
		View: func() *model.View {
			h.viewCalls.Add(1)
			return view
		},
		RequestLease: func(ctx context.Context, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
			if h.killed.Load() {
				return nil, errors.New("killed")
			}
			if h.frozen.Load() {
				<-h.resume
			}
			return client.Lease(ctx, r)
		},
		LoadsPerMinute: 60_000, LeaseTime: testLease, OrderTimeout: testOrderTimeout, Logger: f,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.controller.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
	}
	return h
}

// kill ends the holder without a word to the state processes.
func (h *holder) kill() {
	h.killed.Store(true)
	h.stop()
}

// checkEffects wants the orders carried out in order of their numbers, and the
// last one to be from after the holding with the number.
func checkEffects(t *testing.T, b *delayedEngine, fencing uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.IsSorted(b.effects) || len(b.effects) == 0 || b.effects[len(b.effects)-1] <= fencing {
		t.Errorf("the engine carried out orders of the holdings %v; none of an older may follow one of a newer", b.effects)
	}
}

// forEachFencingMode runs the test with an engine that checks numbers and with one that
// ignores them.
func forEachFencingMode(t *testing.T, test func(t *testing.T, all []*process, engine *delayedEngine)) {
	t.Parallel()
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprint("ignores ", ignores), func(t *testing.T) {
			t.Parallel()
			_, all := group(t, 3)
			test(t, all, newDelayedEngine(t, ignores))
		})
	}
}

// The holder decides on an order and freezes before it sends it. Its lease runs
// out, another takes over and orders something else. When the first wakes, its
// order must not take effect any more: the engine would end with the old wish.
func TestFrozenHolderResumesAfterTakeover(t *testing.T) {
	forEachFencingMode(t, func(t *testing.T, all []*process, engine *delayedEngine) {
		is := is.New(t)
		old := runHolder(t, all, "entry-old", "large", engine, newFreezer(true))
		fencing := <-old.decided
		next := runHolder(t, all, "entry-new", "small", engine, newFreezer(false))
		waitForFencingAbove(engine.delivered, fencing)
		_, holds := old.controller.HoldsLease()
		is.True(!holds)
		looked := old.viewCalls.Load()
		old.frozen.Store(false)
		close(old.resume)
		// The order that it had decided on goes out before it looks twice again.
		for old.viewCalls.Load() < looked+3 {
			time.Sleep(time.Millisecond)
		}
		old.stop()
		next.stop()
		checkEffects(t, engine, fencing)
	})
}

// The holder is killed when its order is on the way, and the network carries it
// slowly: another takes over and orders something else before it lands. An
// engine that checks numbers refuses the late order; for one that ignores them
// the new holder must wait until the old order has landed.
func TestHolderIsKilledWithAnOrderInTransit(t *testing.T) {
	forEachFencingMode(t, func(t *testing.T, all []*process, engine *delayedEngine) {
		engine.slow.Store(true)
		old := runHolder(t, all, "entry-old", "large", engine, newFreezer(false))
		fencing := <-engine.sent
		engine.slow.Store(false)
		old.kill()
		next := runHolder(t, all, "entry-new", "small", engine, newFreezer(false))
		for late, newer := false, false; !late || !newer; {
			landed := <-engine.delivered
			late, newer = late || landed <= fencing, newer || landed > fencing
		}
		next.stop()
		checkEffects(t, engine, fencing)
	})
}
