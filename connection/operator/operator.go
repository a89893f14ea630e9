// Package operator answers operators' statements over HTTP: queries that it
// gathers from all instances, and changes that it proposes to the log.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// maxBody bounds a statement or a fleet file, in bytes.
	maxBody = 16 << 20
	// gatherTimeout is how long a query waits for one instance, where Options don't say.
	gatherTimeout = 2 * time.Second
	// proposeTimeout is how long a change waits for its quorum.
	proposeTimeout = 10 * time.Second
)

// State is what the handler needs of the state processes.
type State interface {
	Propose(ctx context.Context, proposal *lilacv1.Proposal) (*lilacv1.ProposeReply, error)
	Audit(ctx context.Context, request *lilacv1.AuditRequest) (*lilacv1.AuditReply, error)
}

// Peer is another process that answers its part of a query.
type Peer struct {
	Name       string
	DataCenter string
	Caller     link.Caller
}

// Options are what the handler is made of. All fields are required but Peers,
// StatePeers and GatherTimeout.
type Options struct {
	Instance   string
	DataCenter string
	// View returns the revision in force here.
	View func() *model.View
	// Newest returns the newest revision known to exist and how old that knowledge is.
	Newest func() (revision uint64, age time.Duration)
	State  State
	// Local answers this instance's own part of a query.
	Local func(ctx context.Context, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error)
	// Peers returns the other entry instances that are live or were lately.
	Peers func() []Peer
	// StatePeers returns the state processes.
	StatePeers func() []Peer
	// GatherTimeout is how long a query waits for one instance; 0 means two seconds.
	GatherTimeout time.Duration
	// Operators returns who may give statements.
	Operators func() *secret.Operators
	Now       func() time.Time
	// OnRefused counts requests that showed no right token; may be nil.
	OnRefused func()
}

type handler struct{ Options }

// NewHandler returns the handler of /v1/statements and /v1/apply.
func NewHandler(options Options) http.Handler {
	h := &handler{options}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/statements", h.authorized(h.statement))
	mux.HandleFunc("POST /v1/apply", h.authorized(h.apply))
	return mux
}

type operation func(ctx context.Context, who string, body []byte) (*Reply, error)

// authorized refuses requests without a right token before it reads the body.
func (h *handler) authorized(do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := h.Operators().Who(token)
		if !ok {
			if h.OnRefused != nil {
				h.OnRefused()
			}
			writeError(w, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "no right operator's token; name a token file with --token-file"))
			return
		}
		if h.View() == nil {
			writeError(w, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance has no configuration yet; check that the state processes run, or ask another instance"))
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		reply, err := do(r.Context(), who, body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func decode(body []byte, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the request is no right JSON; see docs/INTERFACES.md")
	}
	return nil
}
