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

// auditLimit bounds the revisions that one query fetches.
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
	case "requests", "servers", "instances", "shares":
		return h.gatherRows(ctx, show, text)
	case "revisions", "audit":
		return h.audit(ctx)
	case "state", "leases", "duties", "replicas":
		return h.stateRows(ctx, subject)
	}
	newest, age := h.Newest()
	own := []Part{{Instance: h.Instance, DataCenter: h.DataCenter, Revision: h.View().Revision, Newest: newest, AgeMs: age.Milliseconds()}}
	return &Reply{Table: configTable(h.View(), subject), Parts: own}, nil
}

type result struct {
	peer  Peer
	reply *lilacv1.QueryReply
	err   error
}

// gatherRows asks each instance for its matching rows, up to its share of
// maxGatheredRows.
func (h *handler) gatherRows(ctx context.Context, show *statement.Show, text string) (*Reply, error) {
	limit := rowsPerInstance(len(h.Peers()) + 1)
	exact := show.Limit != nil && *show.Limit <= limit
	if exact {
		// The first rows of all are among the first rows of each; 0 would mean no
		// limit.
		limit = max(1, *show.Limit)
	}
	reply, err := h.gather(ctx, &lilacv1.QueryRequest{Subject: strings.ToLower(show.Subject), Statement: text, Limit: uint32(limit)})
	if err != nil || exact {
		return reply, err
	}
	for _, part := range reply.Parts {
		reply.Omitted += part.Matched - part.Rows
	}
	return reply, nil
}

// gather sends the request to all instances concurrently and merges the replies that
// arrive within the gather timeout.
func (h *handler) gather(ctx context.Context, request *lilacv1.QueryRequest) (*Reply, error) {
	local, err := h.Local(ctx, request)
	if err != nil {
		return nil, err
	}
	results := h.callAll(ctx, h.Peers(), func(ctx context.Context, peer Peer) (*lilacv1.QueryReply, error) {
		reply := &lilacv1.QueryReply{}
		return reply, peer.Caller.Call(ctx, "entry.query", request, reply)
	})
	results = append(results, result{peer: Peer{Name: h.Instance, DataCenter: h.DataCenter}, reply: local})
	return merge(local.GetColumns(), results), nil
}

// callAll makes the call to all peers concurrently and returns one result per peer.
func (h *handler) callAll(ctx context.Context, peers []Peer, call func(context.Context, Peer) (*lilacv1.QueryReply, error)) []result {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(h.GatherTimeout, gatherTimeout))
	defer cancel()
	results := make([]result, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			reply, err := call(ctx, peer)
			results[i] = result{peer: peer, reply: reply, err: err}
		})
	}
	wg.Wait()
	return results
}

// merge combines the rows of all instances into one table with the columns instance and
// columns. Rows with another number of columns are dropped.
func merge(columns []string, results []result) *Reply {
	slices.SortFunc(results, func(a, b result) int { return strings.Compare(a.peer.Name, b.peer.Name) })
	reply := &Reply{Table: &table.Table{Columns: append([]string{"instance"}, columns...), Rows: [][]string{}}}
	for _, r := range results {
		if r.err != nil {
			reply.Missing = append(reply.Missing, Missing{Instance: r.peer.Name, DataCenter: r.peer.DataCenter, Reason: r.err.Error()})
			continue
		}
		reply.Parts = append(reply.Parts, Part{
			Instance: r.peer.Name, DataCenter: r.peer.DataCenter, Revision: r.reply.GetRevision(),
			Newest: r.reply.GetNewest(), AgeMs: int64(r.reply.GetAgeMs()),
			Rows: len(r.reply.GetRows()), Matched: max(len(r.reply.GetRows()), int(r.reply.GetMatched())),
		})
		for _, row := range r.reply.GetRows() {
			if len(row.GetValues()) == len(columns) {
				reply.Table.Rows = append(reply.Table.Rows, append([]string{r.peer.Name}, row.GetValues()...))
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
			strconv.FormatUint(r.GetNumber(), 10), formatTime(r.GetProposedUnixMs()), r.GetWho(), r.GetInstance(), r.GetStatement(), r.GetCommandId(),
		})
	}
	return &Reply{Table: t}, nil
}

func (h *handler) stateRows(ctx context.Context, subject string) (*Reply, error) {
	method, columns, call := stateQuery(subject)
	results := h.callAll(ctx, h.statePeers(), func(ctx context.Context, peer Peer) (*lilacv1.QueryReply, error) {
		return call(ctx, peer, method)
	})
	if !slices.ContainsFunc(results, func(r result) bool { return r.err == nil }) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no state process replies; see \"lost quorum\" in docs/OPERATING.md")
	}
	return merge(columns, results), nil
}

func (h *handler) statePeers() []Peer {
	if h.StatePeers == nil {
		return nil
	}
	return h.StatePeers()
}

// stateQueryFunc calls a method of one state process.
type stateQueryFunc func(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error)

// stateColumns are the columns of subjects that state processes answer as rows.
var stateColumns = map[string][]string{
	"leases":   {"lease", "holder", "fencing", "left"},
	"duties":   {"holds", "since", "fencing", "calls", "unacknowledged", "oldest_window", "oldest_age", "dropped"},
	"replicas": {"service", "data_center", "kind", "ordered", "ready", "reason"},
}

// stateQuery returns the method, the columns and the call for a subject that the state
// processes answer.
func stateQuery(subject string) (method string, columns []string, call stateQueryFunc) {
	if columns := stateColumns[subject]; columns != nil {
		return "state.query", columns, func(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error) {
			return queryState(ctx, peer, method, &lilacv1.QueryRequest{Subject: subject})
		}
	}
	return "state.status", []string{"role", "term", "leader", "commit", "applied", "revision", "voters", "learners", "claims", "disk_full", "recoveries", "rival"}, queryStatus
}

func queryState(ctx context.Context, peer Peer, method string, request proto.Message) (*lilacv1.QueryReply, error) {
	reply := &lilacv1.QueryReply{}
	return reply, peer.Caller.Call(ctx, method, request, reply)
}

func queryStatus(ctx context.Context, peer Peer, method string) (*lilacv1.QueryReply, error) {
	s := &lilacv1.StateStatus{}
	if err := peer.Caller.Call(ctx, method, &lilacv1.StateStatusRequest{}, s); err != nil {
		return nil, err
	}
	format := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return &lilacv1.QueryReply{Revision: s.GetRevision(), Rows: []*lilacv1.QueryRow{{Values: []string{
		s.GetRole(), format(s.GetTerm()), s.GetLeader(), format(s.GetCommitIndex()), format(s.GetAppliedIndex()), format(s.GetRevision()),
		strings.Join(s.GetVoters(), ","), strings.Join(s.GetLearners(), ","), format(s.GetClaims()), strconv.FormatBool(s.GetDiskFull()),
		format(uint64(s.GetRecoveries())), s.GetRival(),
	}}}}, nil
}
