// Package operator serves operators' statements over HTTP, and contains the client for
// them. Queries are gathered from all instances; changes are proposed to the state processes.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// gatherTimeout is the default of Options.GatherTimeout.
	gatherTimeout = 2 * time.Second
	// bodyTime bounds the time for a body to arrive, roomWait the wait for room for it.
	bodyTime = 10 * time.Second
	roomWait = 2 * time.Second
	// decodedShare is what a body takes once it is decoded and parsed, by its bytes.
	decodedShare = 8
	// proposeTimeout bounds the wait until a quorum has accepted a change.
	proposeTimeout = 10 * time.Second
)

// State sends calls to the state processes.
type State interface {
	Propose(ctx context.Context, proposal *lilacv1.Proposal) (*lilacv1.ProposeReply, error)
	Audit(ctx context.Context, request *lilacv1.AuditRequest) (*lilacv1.AuditReply, error)
}

// Peer is another process that replies to queries.
type Peer struct {
	Name       string
	DataCenter string
	Caller     link.Caller
}

// Options configure the handler. All fields but StatePeers, GatherTimeout and OnRefused are
// required. The functions are called concurrently.
type Options struct {
	Instance   string
	DataCenter string
	// View returns the configuration in force at this instance; nil if there is none yet.
	View func() *model.View
	// Newest returns the newest known revision and the age of that information.
	Newest func() (revision uint64, age time.Duration)
	State  State
	// Local returns this instance's part of a query.
	Local func(ctx context.Context, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error)
	// Peers returns the other entry instances that are or recently were live.
	Peers func() []Peer
	// StatePeers returns the state processes.
	StatePeers func() []Peer
	// GatherTimeout is how long a query waits for the other instances; 0 means 2 s.
	GatherTimeout time.Duration
	// Operators returns the tokens of the operators.
	Operators func() *secret.Operators
	// Holdings is the account of what the instance holds; nil if that isn't bounded.
	Holdings *holding.Store
	Now      func() time.Time
	// OnRefused is called for each request without a valid token; may be nil.
	OnRefused func()
}

type handler struct{ Options }

// NewHandler returns the HTTP handler for /v1/statements and /v1/apply.
func NewHandler(options Options) http.Handler {
	h := &handler{options}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/statements", h.authorized(h.statement))
	mux.HandleFunc("POST /v1/apply", h.authorized(h.apply))
	return mux
}

type operation func(ctx context.Context, who string, body []byte) (*Reply, error)

// authorized rejects requests without a valid token before it reads the body.
func (h *handler) authorized(do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := h.Operators().ByToken(token)
		if !ok {
			if h.OnRefused != nil {
				h.OnRefused()
			}
			writeError(w, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "no valid operator token; name a token file with --token-file"))
			return
		}
		if h.View() == nil {
			writeError(w, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance has no configuration yet; check that the state processes run, or ask another instance"))
			return
		}
		hold := h.Holdings.Open(holding.Owner{Caller: "operator " + who})
		defer hold.Close()
		body, err := readBody(w, r, hold)
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
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the request is not valid JSON; see docs/INTERFACES.md")
	}
	return nil
}
