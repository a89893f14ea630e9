package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Operators must see which backend servers state a limit, and this instance's share of it, and how fast each
// server is.
func TestServersAreShownWithTheirLimitsAndPaces(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	view := func(revision uint64, names ...string) *model.View {
		snapshot := &lilacv1.Snapshot{Revision: revision}
		for _, name := range names {
			snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{Name: name, Serves: []string{"llm"}})
		}
		return model.NewView(snapshot)
	}
	r.Configure(view(1, "a", "b"))
	at := time.Unix(1_800_000_000, 0)
	r.recordLimit(at, policy.LimitChanged{Server: "b", Advertised: true, PerSecond: 1.8, Share: 0.6, Source: policy.LimitFromPeer, Age: time.Second})
	paces := map[string]policy.PaceStats{"b": {Reported: 4.25, Kind: 1.7, Now: 3.9}}
	columns, rows := r.Servers(paces)
	is.Equal(columns[5:], []string{"limit", "share", "limit_source", "limit_since", "pace_reported", "pace_lasting", "pace_expected", "pace_measured"})
	is.Equal(rows[0].GetValues()[5:], []string{"", "", "", "", "", "", "", ""})
	is.Equal(rows[1].GetValues()[5:], []string{"1.8", "0.6", "instance", "2027-01-15T07:59:59Z", "4.25", "1.70", "3.90", ""})
	r.recordLimit(at, policy.LimitChanged{Server: "b"})
	_, rows = r.Servers(paces)
	is.Equal(rows[1].GetValues()[5], "")
	r.recordLimit(at, policy.LimitChanged{Server: "b", Advertised: true})
	r.Configure(view(2, "a"))
	is.Equal(len(r.limits), 0)
}

// Guards against one caller's id that a reply can't carry, or that fills it, and hides all requests
// from operators.
func TestOddIDHidesNoRequestFromOperators(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	for i, id := range []string{"id1", "\xff\xfe", strings.Repeat("é", 1000)} {
		r.requests[policy.ID(i)] = &request{id: policy.ID(i), requestID: id}
	}
	columns, rows := r.Requests()
	is.Equal(len(rows), 3)
	is.Equal(rows[0].GetValues()[0], "id1")
	data, err := proto.Marshal(&lilacv1.QueryReply{Columns: columns, Rows: rows})
	is.NoErr(err)
	is.True(len(data) < 1000)
}
