// Package caller serves callers of the chat completions API and of plain services over
// HTTP: it checks requests, passes them to a Router, and writes responses and typed errors.
//
// All checks are done before any backend server gets the request.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	chatPath       = "/v1/chat/completions"
	modelsPath     = "/v1/models"
	servicePrefix  = "/services/"
	requestIDBytes = 16
)

// Handler is the HTTP handler for callers.
type Handler struct {
	instance    string
	callerKey   *secret.Reloadable[[]byte]
	limits      settings.EntryLimits
	router      Router
	counter     Counter
	noKeepAlive atomic.Bool
	// holdings is nil if what the instance holds isn't bounded.
	holdings *holding.Store
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a Handler that passes checked requests to router. callerKey verifies
// callers' tokens.
func NewHandler(s *settings.Entry, callerKey *secret.Reloadable[[]byte], router Router, counter Counter) *Handler {
	return &Handler{instance: s.Name, callerKey: callerKey, limits: s.Limits, router: router, counter: counter}
}

// SetHoldings has the handler hold headers and bodies by the account of holdings. It must be called
// before the first request.
func (h *Handler) SetHoldings(holdings *holding.Store) { h.holdings = holdings }

func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// DisableKeepAlives makes each later response ask the caller or load balancer to close its
// connection. The server closes none itself, since a request may be in transit on it.
func (h *Handler) DisableKeepAlives() { h.noKeepAlive.Store(true) }

// ServeHTTP checks the request and passes it to the router.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.noKeepAlive.Load() {
		w.Header().Set("Connection", "close")
	}
	rw := newResponseWriter(w, r, newRequestID(), h.instance)
	err := h.serve(w, r, rw)
	if err == nil {
		rw.End()
		return
	}
	h.counter.Refused(fault.Name(fault.KindOf(err)))
	rw.Fail(err)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, rw *ResponseWriter) error {
	if err := h.checkHeader(r); err != nil {
		return err
	}
	view := h.router.View()
	if view == nil {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance has no configuration yet; retry here or at another instance", fault.WithRetryAfter(notReadyRetry))
	}
	meta := Meta{RequestID: rw.RequestID}
	if err := h.checkMeta(r, view, &meta); err != nil {
		return err
	}
	hold, err := h.openHold(r, meta.Team)
	if err != nil {
		return err
	}
	defer hold.Close()
	switch path := r.URL.Path; {
	case path == chatPath && r.Method == http.MethodPost:
		return h.chat(w, r, view, meta, hold, rw)
	case path == modelsPath && r.Method == http.MethodGet:
		return h.models(view, rw)
	case strings.HasPrefix(path, servicePrefix):
		return h.service(w, r, view, meta, hold, rw)
	}
	return refused(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "no endpoint for "+r.Method+" "+strconv.Quote(r.URL.Path)+"; see docs/INTERFACES.md")
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request, view *model.View, meta Meta, hold *holding.Hold, rw *ResponseWriter) error {
	body, err := h.readBody(w, r, hold)
	if err != nil {
		return err
	}
	if hold.WaitToDecode(r.Context(), holding.DecodeCost(body, messageBytes, valueBytes), maxRoomWait) != nil {
		return errNoRoom("body")
	}
	fields, err := parseChat(body)
	if err != nil {
		return err
	}
	if !serves(view, fields.Model, lilacv1.ServerKind_SERVER_KIND_ENGINE) {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_MODEL, "model "+strconv.Quote(fields.Model)+" is not served by any engine; see GET "+modelsPath)
	}
	meta.Target, meta.Body = fields.Model, body
	h.counter.Request(meta.Class)
	ctx, cancel := contextWithDeadline(r, &meta)
	defer cancel()
	return h.router.Chat(ctx, &Chat{Meta: meta, ChatFields: fields}, rw)
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request, view *model.View, meta Meta, hold *holding.Hold, rw *ResponseWriter) error {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	if !serves(view, name, lilacv1.ServerKind_SERVER_KIND_SERVICE) {
		return refused(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "service "+strconv.Quote(name)+" is not served by any server; check the path")
	}
	body, err := h.readBody(w, r, hold)
	if err != nil {
		return err
	}
	uri := strings.TrimPrefix(r.URL.RequestURI(), servicePrefix)
	uri = uri[strings.IndexAny(uri+"/", "/?"):]
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	meta.Target, meta.Body = name, body
	h.counter.Request(meta.Class)
	ctx, cancel := contextWithDeadline(r, &meta)
	defer cancel()
	return h.router.Service(ctx, &Service{Meta: meta, Method: r.Method, URI: uri, Header: r.Header}, rw)
}

// contextWithDeadline returns a context that ends when the caller disconnects or the
// request's deadline passes.
func contextWithDeadline(r *http.Request, meta *Meta) (context.Context, context.CancelFunc) {
	if meta.Deadline.IsZero() {
		return r.Context(), func() {}
	}
	return context.WithDeadline(r.Context(), meta.Deadline)
}

func serves(view *model.View, name string, kind lilacv1.ServerKind) bool {
	for _, server := range view.Pools[name] {
		if server.GetKind() == kind {
			return true
		}
	}
	return false
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (h *Handler) models(view *model.View, rw *ResponseWriter) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name := range view.Pools {
		if serves(view, name, lilacv1.ServerKind_SERVER_KIND_ENGINE) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "lilacbridge"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	rw.WriteHeader(http.StatusOK, "application/json", "")
	_, err = rw.Write(body)
	return err
}
