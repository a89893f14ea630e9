package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/orders"
)

const (
	// readTimeout bounds one read of an engine.
	readTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer of an engine.
	maxAnswerBytes = 1 << 20

	ordersPath = "/orders"
	kindLoad   = "load"
	kindUnload = "unload"
)

// orderBody is the request body of POST /orders.
type orderBody struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// loadedBody is the response body of GET /orders.
type loadedBody struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Fencing  uint64   `json:"fencing"`
}

// engineClient sends orders to engines and reads which models they have loaded.
type engineClient struct {
	// client makes the calls over control connections, which count their bytes and detect
	// late answers to earlier calls.
	client *upstream.Client
	// valid reports whether the lease with the fencing number is still held.
	valid func(fencing uint64) bool
	// pending is the number of orders in flight.
	pending *atomic.Int64
	// timeout bounds one order.
	timeout time.Duration
}

func newEngineClient(client *upstream.Client, valid func(uint64) bool, timeout time.Duration) engineClient {
	return engineClient{client: client, valid: valid, pending: new(atomic.Int64), timeout: timeout}
}

func (e engineClient) inFlight() bool { return e.pending.Load() > 0 }

// read reads which of its desired models an engine has loaded.
func (e engineClient) read(ctx context.Context, r orders.Read) orders.ReadDone {
	loaded, err := e.loaded(ctx, r.Engine)
	return orders.ReadDone{Engine: r.Engine.Name, Fencing: r.Fencing, Loaded: loaded, Err: err}
}

func (e engineClient) loaded(ctx context.Context, engine orders.Engine) ([]orders.Model, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.Address+ordersPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := e.client.Control(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "reading the models of engine %s failed with status %s", engine.Name, resp.Status)
	}
	var body loadedBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, err
	}
	return desiredLoaded(engine, body), nil
}

// desiredLoaded returns the entries of engine.Desired that the engine has loaded. Engines
// list adapters without their model, so an adapter is matched by its name alone.
func desiredLoaded(engine orders.Engine, body loadedBody) []orders.Model {
	var list []orders.Model
	for m := range engine.Desired {
		if m.Adapter == "" && slices.Contains(body.Models, m.Name) || m.Adapter != "" && slices.Contains(body.Adapters, m.Adapter) {
			list = append(list, m)
		}
	}
	return list
}

// order sends one order and counts it as pending until it is answered.
func (e engineClient) order(ctx context.Context, o orders.Order) orders.OrderDone {
	e.pending.Add(1)
	defer e.pending.Add(-1)
	done := orders.OrderDone{Engine: o.Engine.Name, Fencing: o.Fencing}
	done.Refused, done.Err = e.post(ctx, o)
	return done
}

func (e engineClient) post(ctx context.Context, o orders.Order) (refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	body := orderBody{Kind: kindUnload, Model: o.Model.Name, Adapter: o.Model.Adapter, Fencing: o.Fencing}
	if o.Load {
		body.Kind = kindLoad
	}
	data, err := json.Marshal(body)
	if err != nil {
		return false, err
	}
	leased := &leaseCheckedBody{Reader: bytes.NewReader(data), valid: func() bool { return e.valid(o.Fencing) }}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Engine.Address+ordersPath, leased)
	if err != nil {
		return false, err
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Control(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return false, nil
	case http.StatusConflict:
		return true, nil
	}
	return false, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "order to engine %s failed with status %s", o.Engine.Name, resp.Status)
}

// leaseCheckedBody is a request body that fails to read once the lease is no longer held.
//
// A holder may be frozen, or wait for a connection, after it has decided on an order, and
// then send it while another instance holds the lease. The lease is therefore checked when
// the body is written: an engine executes nothing without a complete body.
type leaseCheckedBody struct {
	io.Reader
	valid func() bool
}

func (b *leaseCheckedBody) Read(p []byte) (int, error) {
	if !b.valid() {
		return 0, fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "the lease expired before the order was sent")
	}
	return b.Reader.Read(p)
}
