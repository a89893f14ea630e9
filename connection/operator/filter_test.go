package operator

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/statement"
)

// newFleetHandler returns the handler of instance e0 in a fleet whose instances run the given
// number of requests each, one in a hundred of team t7. sent counts the bytes of the replies.
func newFleetHandler(instances, requests int, sent *atomic.Int64) *handler {
	var columns = []string{"id", "class", "team", "server", "age", "tokens"}
	localReply := func(instance string, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
		reply := &lilacv1.QueryReply{Instance: instance, Columns: columns}
		for i := range requests {
			reply.Rows = append(reply.Rows, &lilacv1.QueryRow{Values: []string{
				instance + "-0123456789abcdef-" + strconv.Itoa(i), "officer-questions", fmt.Sprint("t", i%100),
				fmt.Sprint("redaction-", i%10), fmt.Sprint(i, "ms"), strconv.Itoa(i),
			}})
		}
		err := FilterReply(request, instance, reply)
		sent.Add(int64(proto.Size(reply)))
		return reply, err
	}
	var peers []Peer
	for i := 1; i < instances; i++ {
		name := fmt.Sprint("e", i)
		peers = append(peers, peer(name, link.Unary(func(_ context.Context, _ link.Peer, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
			return localReply(name, request)
		})))
	}
	return &handler{Options: Options{
		Instance: "e0", GatherTimeout: time.Hour, Peers: func() []Peer { return peers },
		Local: func(_ context.Context, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
			return localReply("e0", request)
		},
	}}
}

func show(t testing.TB, h *handler, text string) *Reply {
	is := is.New(t)
	parsed, err := statement.Parse(text)
	is.NoErr(err)
	reply, err := h.query(t.Context(), parsed.Show, text)
	is.NoErr(err)
	return reply
}

// Guards against running out of memory when an operator queries all requests of a large
// fleet: only some of the rows are gathered, and the reply must say so.
func TestQueryOfALargeFleetIsBounded(t *testing.T) {
	is := is.New(t)
	const instances, requests = 500, 150
	h := newFleetHandler(instances, requests, new(atomic.Int64))
	reply := show(t, h, "SHOW requests")
	is.Equal(len(reply.Table.Rows), maxGatheredRows)
	is.Equal(reply.Omitted, instances*requests-maxGatheredRows)
	is.Equal(reply.Parts[0].Matched, requests)

	reply = show(t, h, "SHOW requests ORDER BY tokens DESC LIMIT 5")
	is.Equal(len(reply.Table.Rows), 5)
	is.Equal(reply.Table.Rows[4][6], strconv.Itoa(requests-1))
	is.Equal(reply.Omitted, 0) // each instance sent its first five rows

	reply = show(t, h, "SHOW requests WHERE instance = e7 AND tokens < 10")
	is.Equal(len(reply.Table.Rows), 10)
	is.Equal(reply.Omitted, 0)
}

// Guards against a dry run that counts only the rows that an instance may send.
func TestDryRunCountsMoreThanItsShareOfRows(t *testing.T) {
	is := is.New(t)
	const instances, requests = 5, 3 * maxGatheredRows / 5
	h := newFleetHandler(instances, requests, new(atomic.Int64))
	lines, err := h.effect(t.Context(), []*lilacv1.Change{{Op: &lilacv1.Change_DropTeam{DropTeam: "t7"}}, {Op: &lilacv1.Change_DropTeam{DropTeam: "none"}}})
	is.NoErr(err)
	is.Equal(lines, []string{
		fmt.Sprintf("team t7: %d running requests at 5 instances", instances*requests/100),
		"team none: 0 running requests at 0 instances",
	})
}

func TestFilterReplyRejectsInvalidStatements(t *testing.T) {
	for name, text := range map[string]string{"syntax": "SHOW requests WHERE", "a change": "DROP TEAM x", "unknown column": "SHOW requests WHERE colour = red"} {
		t.Run(name, func(t *testing.T) {
			reply := &lilacv1.QueryReply{Columns: []string{"id"}}
			is.New(t).True(FilterReply(&lilacv1.QueryRequest{Statement: text}, "e1", reply) != nil)
		})
	}
}

// BenchmarkQuery measures the bytes that the queried instance receives per query, by the
// number of instances with 200 requests each.
func BenchmarkQuery(b *testing.B) {
	for _, instances := range []int{8, 64, 256, 1100} {
		for name, text := range map[string]string{
			"all": "SHOW requests", "team": "SHOW requests WHERE team = t7", "top": "SHOW requests ORDER BY tokens DESC LIMIT 20",
		} {
			b.Run(fmt.Sprintf("%s/instances=%d", name, instances), func(b *testing.B) {
				var sent atomic.Int64
				h := newFleetHandler(instances, 200, &sent)
				rows := 0
				for b.Loop() {
					rows = len(show(b, h, text).Table.Rows)
				}
				b.ReportMetric(float64(sent.Load())/float64(b.N)/1e6, "gathered-MB")
				b.ReportMetric(float64(rows), "rows")
			})
		}
	}
}
