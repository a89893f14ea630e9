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
	// slowOrderDelay is the network delay of a slow order; below the timeout.
	slowOrderDelay = testOrderTimeout * 9 / 10
)

// delayedEngine is a simulated engine behind a network that can be slow.
type delayedEngine struct {
	ignoresFencing bool
	handler        http.Handler
	address        string
	// slow delays orders by slowOrderDelay, even if their sender dies meanwhile.
	slow atomic.Bool
	// sent receives the fencing number of each order that has been received completely.
	sent chan uint64
	// delivered receives the fencing number of each order that the engine has accepted or
	// refused.
	delivered chan uint64

	mu sync.Mutex
	// effects are the fencing numbers of the orders carried out, in order. Guarded by mu.
	effects []uint64
}

func newDelayedEngine(t *testing.T, ignoresFencing bool) *delayedEngine {
	server := khttp.NewServer()
	standin.NewEngine(standin.EngineConfig{IgnoreFencing: ignoresFencing}).Routes(server)
	b := &delayedEngine{ignoresFencing: ignoresFencing, handler: server, sent: make(chan uint64, 100), delivered: make(chan uint64, 100)}
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

// waitForFencingAbove returns once an order with a greater fencing number is received.
func waitForFencingAbove(numbers chan uint64, fencing uint64) {
	for <-numbers <= fencing {
	}
}

// holderFreezer blocks a holder between logging the decision on an order and sending the
// order, and blocks its renewals meanwhile.
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

// holder runs an order controller that is connected to the state processes by the real link.
type holder struct {
	*holderFreezer
	controller *orders.Controller
	killed     atomic.Bool
	stop       func()
}

func runHolder(t *testing.T, all []*process, name, modelName string, engine *delayedEngine, f *holderFreezer) *holder {
	view, client := model.NewView(&lilacv1.Snapshot{
		Servers: []*lilacv1.Server{{Name: "r0", Address: engine.address, Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, ChecksFencing: !engine.ignoresFencing}},
		Orders:  []*lilacv1.ModelOrder{{Server: "r0", Model: modelName, Loaded: true}},
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

// kill stops the holder without any further call to the state processes.
func (h *holder) kill() {
	h.killed.Store(true)
	h.stop()
}

// checkEffects fails the test unless the orders were carried out in order of their fencing
// numbers and the last one has a number greater than fencing.
func checkEffects(t *testing.T, b *delayedEngine, fencing uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.IsSorted(b.effects) || len(b.effects) == 0 || b.effects[len(b.effects)-1] <= fencing {
		t.Errorf("engine carried out orders with fencing numbers %v; want ascending order, ending above the number of the old holder", b.effects)
	}
}

// forEachFencingMode runs the test with an engine that checks fencing numbers and with one
// that ignores them.
func forEachFencingMode(t *testing.T, test func(t *testing.T, all []*process, engine *delayedEngine)) {
	t.Parallel()
	for _, ignoresFencing := range []bool{false, true} {
		t.Run(fmt.Sprint("ignores ", ignoresFencing), func(t *testing.T) {
			t.Parallel()
			_, all := group(t, 3)
			test(t, all, newDelayedEngine(t, ignoresFencing))
		})
	}
}

// The holder freezes between deciding on an order and sending it. Its lease expires, another
// instance takes over and sends a different order. When the first holder resumes, its order
// must not take effect, otherwise the engine would end up with the outdated one.
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
		// The pending order is sent before the holder reads the view again twice.
		for old.viewCalls.Load() < looked+3 {
			time.Sleep(time.Millisecond)
		}
		old.stop()
		next.stop()
		checkEffects(t, engine, fencing)
	})
}

// The holder is killed while its order is in transit on a slow network. Another instance takes
// over and sends a different order before the first one arrives. An engine that checks fencing
// numbers refuses the late order; with one that ignores them, the new holder must wait until
// the old order has arrived.
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
