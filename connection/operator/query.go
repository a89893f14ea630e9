package operator

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/statement"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// auditLimit bounds the revisions fetched for a query without LIMIT.
const auditLimit = 1000

func (h *handler) query(ctx context.Context, show *statement.Show, text string) (*Reply, error) {
	reply, err := h.rows(ctx, show, text)
	if err != nil {
		return nil, err
	}
	return reply, reply.Table.Select(show)
}

func (h *handler) rows(ctx context.Context, show *statement.Show, text string) (*Reply, error) {
	subject := strings.ToLower(show.Subject)
	switch subject {
	case "requests", "servers", "instances":
		return h.gatherRows(ctx, show, text)
	case "revisions", "audit":
		return h.audit(ctx)
	case "state", "leases":
		return h.stateRows(ctx, subject)
	}
	newest, age := h.Newest()
	own := []Part{{Instance: h.Instance, DataCenter: h.DataCenter, Revision: h.View().Revision, Newest: newest, AgeMs: age.Milliseconds()}}
	return &Reply{Table: configured(h.View(), subject), Parts: own}, nil
}

type answer struct {
	peer  Peer
	reply *lilacv1.QueryReply
	err   error
}

// gatherRows asks every instance for its rows that match, up to its share.
func (h *handler) gatherRows(ctx context.Context, show *statement.Show, text string) (*Reply, error) {
	limit := shareOf(len(h.Peers()) + 1)
	whole := show.Limit != nil && *show.Limit <= limit
	if whole {
		// The first of all are among the first of each; 0 would mean all.
		limit = max(1, *show.Limit)
	}
	reply, err := h.gather(ctx, &lilacv1.QueryRequest{Subject: strings.ToLower(show.Subject), Statement: text, Limit: uint32(limit)})
	if err != nil || whole {
		return reply, err
	}
	for _, part := range reply.Parts {
		reply.Omitted += part.Matched - part.Rows
	}
	return reply, nil
}

// gather asks every instance at once and waits for none longer than gatherTimeout.
func (h *handler) gather(ctx context.Context, request *lilacv1.QueryRequest) (*Reply, error) {
	local, err := h.Local(ctx, request)
	if err != nil {
		return nil, err
	}
	answers := h.askAll(ctx, h.Peers(), func(ctx context.Context, peer Peer) (*lilacv1.QueryReply, error) {
		reply := &lilacv1.QueryReply{}
		return reply, peer.Caller.Call(ctx, "entry.query", request, reply)
	})
	answers = append(answers, answer{peer: Peer{Name: h.Instance, DataCenter: h.DataCenter}, reply: local})
	return merge(local.GetColumns(), answers), nil
}

func (h *handler) askAll(ctx context.Context, peers []Peer, ask func(context.Context, Peer) (*lilacv1.QueryReply, error)) []answer {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(h.GatherTimeout, gatherTimeout))
	defer cancel()
	answers := make([]answer, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			reply, err := ask(ctx, peer)
			answers[i] = answer{peer: peer, reply: reply, err: err}
		})
	}
	wg.Wait()
	return answers
}

// merge puts the rows of all instances under the columns, with the instance first.
func merge(columns []string, answers []answer) *Reply {
	slices.SortFunc(answers, func(a, b answer) int { return strings.Compare(a.peer.Name, b.peer.Name) })
	reply := &Reply{Table: &table.Table{Columns: append([]string{"instance"}, columns...), Rows: [][]string{}}}
	for _, a := range answers {
		if a.err != nil {
			reply.Missing = append(reply.Missing, Missing{Instance: a.peer.Name, DataCenter: a.peer.DataCenter, Reason: a.err.Error()})
			continue
		}
		reply.Parts = append(reply.Parts, Part{
			Instance: a.peer.Name, DataCenter: a.peer.DataCenter, Revision: a.reply.GetRevision(),
			Newest: a.reply.GetNewest(), AgeMs: int64(a.reply.GetAgeMs()),
			Rows: len(a.reply.GetRows()), Matched: max(len(a.reply.GetRows()), int(a.reply.GetMatched())),
		})
		for _, row := range a.reply.GetRows() {
			if len(row.GetValues()) == len(columns) {
				reply.Table.Rows = append(reply.Table.Rows, append([]string{a.peer.Name}, row.GetValues()...))
			}
		}
	}
	return reply
}

func (h *handler) audit(ctx context.Context) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	trail, err := h.State.Audit(ctx, &lilacv1.AuditRequest{Limit: auditLimit})
	if err != nil {
		return nil, err
	}
	t := &table.Table{Columns: []string{"revision", "time", "who", "instance", "statement", "command"}, Rows: [][]string{}}
	for _, r := range trail.GetRevisions() {
		t.Rows = append(t.Rows, []string{
			strconv.FormatUint(r.GetNumber(), 10), wallClock(r.GetProposedUnixMs()), r.GetWho(), r.GetInstance(), r.GetStatement(), r.GetCommandId(),
		})
	}
	return &Reply{Table: t}, nil
}

func (h *handler) stateRows(ctx context.Context, subject string) (*Reply, error) {
	method, columns, row := stateQuery(subject)
	answers := h.askAll(ctx, h.statePeers(), func(ctx context.Context, peer Peer) (*lilacv1.QueryReply, error) {
		return row(ctx, peer, method)
	})
	if !slices.ContainsFunc(answers, func(a answer) bool { return a.err == nil }) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no state process answers; see \"lost quorum\" in docs/OPERATING.md")
	}
	return merge(columns, answers), nil
}

func (h *handler) statePeers() []Peer {
	if h.StatePeers == nil {
		return nil
	}
	return h.StatePeers()
}

type stateAsk func(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error)

func stateQuery(subject string) (method string, columns []string, ask stateAsk) {
	if subject == "leases" {
		return "state.query", []string{"lease", "holder", "fencing", "left"}, func(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error) {
			return askState(ctx, peer, method, &lilacv1.QueryRequest{Subject: "leases"})
		}
	}
	return "state.status", []string{"role", "term", "leader", "commit", "applied", "revision", "voters", "learners", "claims", "disk_full", "recoveries", "rival"}, askStatus
}

func askState(ctx context.Context, peer Peer, method string, request proto.Message) (*lilacv1.QueryReply, error) {
	reply := &lilacv1.QueryReply{}
	return reply, peer.Caller.Call(ctx, method, request, reply)
}

func askStatus(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error) {
	s := &lilacv1.StateStatus{}
	if err := peer.Caller.Call(ctx, method, &lilacv1.StateStatusRequest{}, s); err != nil {
		return nil, err
	}
	u := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return &lilacv1.QueryReply{Revision: s.GetRevision(), Rows: []*lilacv1.QueryRow{{Values: []string{
		s.GetRole(), u(s.GetTerm()), s.GetLeader(), u(s.GetCommitIndex()), u(s.GetAppliedIndex()), u(s.GetRevision()),
		strings.Join(s.GetVoters(), ","), strings.Join(s.GetLearners(), ","), u(s.GetClaims()), strconv.FormatBool(s.GetDiskFull()),
		u(uint64(s.GetRecoveries())), s.GetRival(),
	}}}}, nil
}
