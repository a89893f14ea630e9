package operator

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const token = "0123456789abcdef0123"

// fakeState returns the errors to the first proposals and accepts the later ones.
type fakeState struct {
	errors    []error
	proposals []*lilacv1.Proposal
	accepted  atomic.Bool
}

func (s *fakeState) Propose(_ context.Context, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	s.proposals = append(s.proposals, p)
	if len(s.errors) > 0 {
		err := s.errors[0]
		s.errors = s.errors[1:]
		return nil, err
	}
	s.accepted.Store(true)
	return &lilacv1.ProposeReply{Revision: 42}, nil
}

func (s *fakeState) Audit(context.Context, *lilacv1.AuditRequest) (*lilacv1.AuditReply, error) {
	return &lilacv1.AuditReply{Revisions: []*lilacv1.Revision{{Number: 42, Who: "op-1", Statement: "DROP TEAM x"}}}, nil
}

func rows(instance string) *lilacv1.QueryReply {
	return &lilacv1.QueryReply{Instance: instance, Revision: 41, Columns: []string{"id", "age"}, Rows: []*lilacv1.QueryRow{
		{Values: []string{instance + "-1", "900ms"}}, {Values: []string{instance + "-2", "3s"}}, {Values: []string{"short"}},
	}}
}

func peer(name string, h link.Handler) Peer {
	mux := link.NewMux()
	mux.Handle("entry.query", h)
	return Peer{Name: name, DataCenter: "thies-a", Caller: &link.Local{Mux: mux}}
}

// viewOf returns a View function that returns the accepted change only from the third call
// after it was accepted, like an entry that lags behind the state processes.
func viewOf(state State, before *model.View) func() *model.View {
	after := *before
	after.Revision = 42
	calls := 0
	return func() *model.View {
		fake := state.(*fakeState)
		if !fake.accepted.Load() {
			return before
		}
		if calls++; calls < 3 {
			return before
		}
		return &after
	}
}

func serve(t *testing.T, state State) *Client {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "tokens")
	is.NoErr(os.WriteFile(file, []byte("# operators\nop-1 "+token+"\n"), 0o600))
	operators, err := secret.ReadOperators(file)
	is.NoErr(err)
	view := model.NewView(&lilacv1.Snapshot{Revision: 41, Classes: []*lilacv1.Class{{Name: "alerts", FirstTokenMs: 420, SharePermille: 75}}})
	server := httptest.NewServer(NewHandler(Options{
		Instance: "e1", DataCenter: "dakar-a", Newest: func() (uint64, time.Duration) { return 41, time.Second }, View: viewOf(state, view), State: state, Operators: func() *secret.Operators { return operators }, Now: time.Now,
		Local: func(_ context.Context, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
			reply := rows("e1")
			return reply, FilterReply(request, "e1", reply)
		},
		Peers: func() []Peer {
			return []Peer{
				peer("e2", link.Unary(func(_ context.Context, _ link.Peer, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
					reply := rows("e2")
					return reply, FilterReply(request, "e2", reply)
				})),
				peer("e3", func(context.Context, *link.Exchange) error {
					return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "instance unreachable")
				}),
			}
		},
	}))
	t.Cleanup(server.Close)
	return &Client{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, Token: token}
}

// Guards against a query that fails, or does not name the missing instance, while one instance
// is unreachable.
func TestQueryNamesInstancesThatDoNotReply(t *testing.T) {
	is := is.New(t)
	reply, err := serve(t, &fakeState{}).Statement(t.Context(), &StatementRequest{Statement: `SHOW requests WHERE age >= 2s ORDER BY id DESC`})
	is.NoErr(err)
	is.Equal(reply.Table.Rows, [][]string{{"e2", "e2-2", "3s"}, {"e1", "e1-2", "3s"}})
	is.Equal(len(reply.Parts), 2)
	is.Equal(len(reply.Missing), 1)
	is.Equal(reply.Missing[0].Instance, "e3")
}

func TestChangeCarriesWhoAndCommand(t *testing.T) {
	is := is.New(t)
	state := &fakeState{}
	reply, err := serve(t, state).Statement(t.Context(), &StatementRequest{Statement: "DROP TEAM x IF REVISION 41", CommandID: "c1"})
	is.NoErr(err)
	is.Equal(reply.Change.Revision, uint64(42))
	is.Equal(state.proposals[0].GetWho(), "op-1")
	is.Equal(state.proposals[0].GetIfRevision(), uint64(41))
	is.Equal(state.proposals[0].GetCommandId(), "c1")
}

// Guards against a reply to a change before the change is in force at the instance: the next
// query to it must show the change.
func TestChangeIsInForceLocallyOnReply(t *testing.T) {
	is := is.New(t)
	client := serve(t, &fakeState{})
	_, err := client.Statement(t.Context(), &StatementRequest{Statement: "DROP TEAM x", CommandID: "c1"})
	is.NoErr(err)
	reply, err := client.Statement(t.Context(), &StatementRequest{Statement: "SHOW classes"})
	is.NoErr(err)
	is.Equal(reply.Parts[0].Revision, uint64(42))
}

// Guards against reporting a change as not made if the leader fails after it accepted the
// change and before it replied. The client must resend the same command id and, without any
// reply, report the outcome as unknown.
func TestLostReplyStaysUnknown(t *testing.T) {
	is := is.New(t)
	lost := fault.New(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no reply in time")
	state := &fakeState{errors: []error{lost}}
	client := serve(t, state)
	reply, err := client.Statement(t.Context(), &StatementRequest{Statement: "DROP TEAM x", CommandID: "c1"})
	is.NoErr(err)
	is.Equal(reply.Change.Revision, uint64(42))
	is.Equal(state.proposals[1].GetCommandId(), "c1")

	noLeader := fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no leader within reach", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_UNKNOWN))
	state.errors = []error{lost, noLeader, lost}
	_, err = client.Statement(t.Context(), &StatementRequest{Statement: "DROP TEAM x", CommandID: "c2"})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN))
	is.True(strings.Contains(err.Error(), "c2"))
}

func TestDryRunReportsRunningRequests(t *testing.T) {
	is := is.New(t)
	reply, err := serve(t, &fakeState{}).Statement(t.Context(), &StatementRequest{Statement: "DRAIN INSTANCE e2", CommandID: "c1", DryRun: true})
	is.NoErr(err)
	is.Equal(reply.Change.Effect, []string{"instance e2: 2 running requests at 1 instances", "e3 did not answer; its requests are not counted"})
}

func TestRequestErrors(t *testing.T) {
	conflict := fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "revision 42 by op-2 won")
	for name, c := range map[string]struct {
		statement, token string
		state            *fakeState
		want             fault.Kind
	}{
		"no token":       {"SHOW classes", "wrong", &fakeState{}, lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED},
		"syntax":         {"SHWO classes", token, &fakeState{}, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST},
		"unknown column": {"SHOW classes WHERE colour = red", token, &fakeState{}, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST},
		"conflict":       {"DROP TEAM x", token, &fakeState{errors: []error{conflict}}, lilacv1.ErrorKind_ERROR_KIND_CONFLICT},
		"no state":       {"SHOW state", token, &fakeState{}, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := serve(t, c.state)
			client.Token = c.token
			_, err := client.Statement(t.Context(), &StatementRequest{Statement: c.statement})
			is.Equal(fault.KindOf(err), c.want)
		})
	}
}

func TestApplySendsOnlyWhatDiffers(t *testing.T) {
	is := is.New(t)
	state := &fakeState{}
	document := "classes:\n  - {name: alerts, first_token_ms: 420, share_permille: 75}\nteams:\n  - {name: coop}\n"
	reply, err := serve(t, state).Apply(t.Context(), &ApplyRequest{Document: document, Prune: true})
	is.NoErr(err)
	is.Equal(reply.Change.Diff, []string{"~ class alerts", "+ team coop"})

	_, err = serve(t, state).Apply(t.Context(), &ApplyRequest{Document: "classes:\n  - {nmae: x}\n"})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE))
	is.True(strings.Contains(err.Error(), "line 2"))
}
