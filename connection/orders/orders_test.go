package orders

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/orders"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// engine is a fake model engine that serves the orders protocol.
type engine struct {
	mu     sync.Mutex
	loaded loadedBody
	got    []orderBody
	// changed receives a value after each executed order.
	changed chan struct{}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(e.loaded)
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Fencing < e.loaded.Fencing {
		http.Error(w, "old number", http.StatusConflict)
		return
	}
	e.loaded.Fencing = o.Fencing
	e.got = append(e.got, o)
	if o.Kind == kindLoad {
		e.loaded.Models = append(e.loaded.Models, o.Model)
	}
	e.changed <- struct{}{}
}

func start(t *testing.T) (*engine, string) {
	e := &engine{changed: make(chan struct{}, 10)}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, strings.TrimPrefix(server.URL, "http://")
}

func newView(address string) *model.View {
	return model.NewView(&lilacv1.Snapshot{
		Servers: []*lilacv1.Server{{Name: "r1", Address: address, Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, ChecksFencing: true}},
		Orders:  []*lilacv1.ModelOrder{{Server: "r1", Model: "large", Loaded: true}, {Server: "gone", Model: "large", Loaded: true}},
	})
}

func TestHolderOrdersDesiredModels(t *testing.T) {
	is := is.New(t)
	e, address := start(t)
	table := lease.NewTable()
	var mu sync.Mutex
	controller := New(Options{
		View:           func() *model.View { return newView(address) },
		LoadsPerMinute: 6000,
		RequestLease: func(_ context.Context, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
			mu.Lock()
			defer mu.Unlock()
			r.Holder, r.Incarnation = "entry-1", "entry-1/1"
			return table.Apply(r)
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- controller.Run(ctx) }()
	<-e.changed
	fencing, holds := controller.HoldsLease()
	is.True(holds)
	is.Equal(fencing, uint64(1))
	for controller.engines.inFlight() {
		time.Sleep(time.Millisecond)
	}
	stop()
	is.NoErr(<-done)
	is.Equal(e.got, []orderBody{{Kind: kindLoad, Model: "large", Fencing: 1}})
	is.Equal(table.Get(LeaseName).GetHolder(), "")
}

// A holder freezes after deciding on an order and resumes after its lease has expired. The
// engine must not receive an order that it could execute.
func TestOrderIsNotSentAfterLeaseExpired(t *testing.T) {
	is := is.New(t)
	e, address := start(t)
	frozen := newEngineClient(upstream.NewClient(), func(uint64) bool { return false }, orders.OrderTimeout)
	done := frozen.order(t.Context(), orders.Order{Engine: orders.Engine{Name: "r1", Address: address}, Model: orders.Model{Name: "large"}, Load: true, Fencing: 1})
	is.True(done.Err != nil)
	is.True(!done.Refused)
	is.Equal(len(e.got), 0)
}

func TestEngineErrors(t *testing.T) {
	for name, c := range map[string]struct {
		answer     http.HandlerFunc
		readFails  bool
		refused    bool
		orderFails bool
	}{
		"fine": {func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(`{"models":["large"],"adapters":["fr"]}`))
		}, false, false, false},
		"old number": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, true, true, false},
		"error":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true, false, true},
		"no JSON":    {func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("<html>")) }, true, false, false},
		"crash":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.answer)
			defer server.Close()
			target := orders.Engine{Name: "r1", Address: strings.TrimPrefix(server.URL, "http://"),
				Desired: map[orders.Model]bool{{Name: "large"}: true, {Name: "large", Adapter: "fr"}: true, {Name: "large", Adapter: "wo"}: true}}
			e := newEngineClient(upstream.NewClient(), func(uint64) bool { return true }, orders.OrderTimeout)
			read := e.read(t.Context(), orders.Read{Engine: target})
			is.Equal(read.Err != nil, c.readFails)
			is.Equal(len(read.Loaded) == 2, !c.readFails)
			done := e.order(t.Context(), orders.Order{Engine: target, Model: orders.Model{Name: "large"}, Load: true, Fencing: 1})
			is.Equal(done.Refused, c.refused)
			is.Equal(done.Err != nil, c.orderFails)
		})
	}
}
