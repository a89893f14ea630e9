package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an odd item that hides the others of the platform's list, or that names an entry
// that can't be called.
func TestOddItemHidesNoOtherOfTheList(t *testing.T) {
	const sound = `{"name":"e1","address":"10.0.0.1:80","data_center":"a","role":"entry","state":"live"}`
	for _, odd := range []string{
		`7`, `null`, `nul`, `{"name":7}`, `{"name":"","role":"server"}`, `{"name":"e2","role":"entry","address":"10.0.0.2:70000"}`,
		`{"name":"e2","role":"entry","address":"10.0.0.2:0"}`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		`{"name":"` + strings.Repeat("e", 4000) + `","role":"server"}`,
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"instances":[%s,%s]}`, odd, sound)
		}))
		g := &Gossip{options: Options{InstanceList: server.URL}}
		list, _, _, err := g.readList(t.Context(), server.Client(), "")
		server.Close()
		is.NoErr(err)
		is.Equal(list, []listedInstance{{Name: "e1", Address: "10.0.0.1:80", DataCenter: "a", Role: "entry", State: "live"}})
	}
}
