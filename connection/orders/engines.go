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
	// readTimeout bounds one reading of an engine.
	readTimeout = 5 * time.Second
	// maxAnswer bounds an engine's answer, in bytes.
	maxAnswer = 1 << 20

	ordersPath = "/orders"
	kindLoad   = "load"
	kindUnload = "unload"
)

// orderBody is POST /orders.
type orderBody struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// loadedBody is the answer of GET /orders.
type loadedBody struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Fencing  uint64   `json:"fencing"`
}

// engines speaks the orders' part of the engines' protocol.
type engines struct {
	// client makes the calls over the connections for control, where their bytes
	// are counted and a late answer of another call is found out.
	client *upstream.Client
	valid  func(fencing uint64) bool
	flying *atomic.Int64
	// timeout bounds one order.
	timeout time.Duration
}

func newEngines(client *upstream.Client, valid func(uint64) bool, timeout time.Duration) engines {
	return engines{client: client, valid: valid, flying: new(atomic.Int64), timeout: timeout}
}

func (e engines) inFlight() bool { return e.flying.Load() > 0 }

// read asks an engine what it has.
func (e engines) read(ctx context.Context, r orders.Read) orders.ReadDone {
	has, err := e.loaded(ctx, r.Engine)
	return orders.ReadDone{Engine: r.Engine.Name, Fencing: r.Fencing, Loaded: has, Err: err}
}

func (e engines) loaded(ctx context.Context, engine orders.Engine) ([]orders.Model, error) {
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
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "engine %s answers %s to a reading of its models", engine.Name, resp.Status)
	}
	var body loadedBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil {
		return nil, err
	}
	return has(engine, body), nil
}

// has names what the engine has in the words of its wishes: an engine lists
// adapters without their model.
func has(engine orders.Engine, body loadedBody) []orders.Model {
	var list []orders.Model
	for m := range engine.Desired {
		if m.Adapter == "" && slices.Contains(body.Models, m.Name) || m.Adapter != "" && slices.Contains(body.Adapters, m.Adapter) {
			list = append(list, m)
		}
	}
	return list
}

// order sends one order.
func (e engines) order(ctx context.Context, o orders.Order) orders.OrderDone {
	e.flying.Add(1)
	defer e.flying.Add(-1)
	done := orders.OrderDone{Engine: o.Engine.Name, Fencing: o.Fencing}
	done.Refused, done.Err = e.post(ctx, o)
	return done
}

func (e engines) post(ctx context.Context, o orders.Order) (refused bool, err error) {
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
	leased := &leasedBody{Reader: bytes.NewReader(data), valid: func() bool { return e.valid(o.Fencing) }}
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
	return false, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "engine %s answers %s to an order", o.Engine.Name, resp.Status)
}

// leasedBody gives the body only while the lease holds.
//
// It guards against a holder that is frozen or waits for a connection after it
// decided, and sends its order when another already holds the lease. It holds
// because the check is made when the body is written: without a whole body the
// engine carries nothing out.
type leasedBody struct {
	io.Reader
	valid func() bool
}

func (b *leasedBody) Read(p []byte) (int, error) {
	if !b.valid() {
		return 0, fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "the lease ran out before the order was sent")
	}
	return b.Reader.Read(p)
}
