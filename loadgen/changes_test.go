package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// Guards against overlooking a lost change: an instance that shows the configuration without
// an accepted change, and accepted changes whose revisions do not increase, must be reported.
func TestLostAndOutOfOrderChangesAreReported(t *testing.T) {
	for _, c := range []struct {
		name           string
		revisions      []uint64
		shown          []string
		lost, disorder int
	}{
		{"all present", []uint64{4, 5, 6}, []string{"p-1", "p-2", "p-3", "other"}, 0, 0},
		{"one lost", []uint64{4, 5, 6}, []string{"p-1", "p-3"}, 1, 0},
		{"revision given twice", []uint64{4, 5, 5}, []string{"p-1", "p-2", "p-3"}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			sent := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request := &operator.StatementRequest{}
				_ = json.NewDecoder(r.Body).Decode(request)
				if strings.HasPrefix(request.Statement, "SET") {
					_ = json.NewEncoder(w).Encode(operator.Reply{Change: &operator.Change{Revision: c.revisions[sent]}})
					sent++
					return
				}
				shown := &table.Table{Columns: []string{"team", "weight"}}
				for _, team := range c.shown {
					shown.Rows = append(shown.Rows, []string{team, "1"})
				}
				_ = json.NewEncoder(w).Encode(operator.Reply{Table: shown})
			}))
			defer server.Close()
			client := &operator.Client{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, Token: "t"}
			log := ApplyChanges(context.Background(), client, ChangePlan{Prefix: "p", Count: 3})
			i.Equal(len(log.Accepted), 3)
			i.Equal(len(log.OutOfOrder), c.disorder)
			lost, err := VerifyChanges(context.Background(), client, log, time.Millisecond)
			i.NoErr(err)
			i.Equal(len(lost), c.lost)
		})
	}
}
