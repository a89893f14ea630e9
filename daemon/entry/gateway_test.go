package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// numberedPlatform decodes a document from its version number; version n has n routes.
type numberedPlatform struct{ gateway.Platform }

func (numberedPlatform) ParseDocument(content []byte) (*routing.Document, error) {
	version, err := strconv.ParseUint(string(content), 10, 64)
	document := &routing.Document{Version: version, Services: []routing.Service{{Name: "desk"}}}
	for number := range version {
		document.Routes = append(document.Routes, routing.Route{
			Name: fmt.Sprintf("r-%d", number+1), Host: "h", PathPrefix: "/", Timeout: time.Second, Public: true,
			Backends: []routing.Backend{{Service: "desk", Weight: 1}},
		})
	}
	return document, err
}

// A route is added and its first request arrives at the same moment. The policy must
// know the route by then, otherwise the request is refused for an unknown class.
func TestPolicyKnowsARouteBeforeItsFirstRequest(t *testing.T) {
	is := is.New(t)
	const documents = 200
	var known *model.View
	var unknown, asked atomic.Int64
	core := scriptedCore(func(event policy.Event) []policy.Action {
		switch e := event.(type) {
		case policy.Configured:
			known = e.View
		case policy.Arrival:
			asked.Add(1)
			if known == nil || known.Classes[e.Class] == nil {
				unknown.Add(1)
			}
			return []policy.Action{policy.Refuse{ID: e.ID, Kind: lilacv1.ErrorKind_ERROR_KIND_OVERLOADED}}
		}
		return nil
	})
	f := startWith(t, testSettings(), core)
	g := &gatewayRouter{daemon: &Daemon{entry: f.Entry}, logger: hclog.NewNullLogger(), platform: numberedPlatform{}}
	g.onList([]routing.Server{{Name: "desk-1", Identity: "desk-1", Service: "desk", Address: "127.0.0.1:1", DataCenter: "dakar-a", Slots: 1}})
	var callers sync.WaitGroup
	callers.Go(func() {
		for seen := uint64(0); seen < documents; {
			table := g.Table()
			if table == nil || table.Document.Version == seen {
				continue
			}
			seen = table.Document.Version
			q := &gateway.Request{RequestInfo: gateway.RequestInfo{AttemptID: "a"}, Method: http.MethodGet, URI: "/", Host: "h", Route: &table.Document.Routes[seen-1], Table: table, Deadline: time.Now().Add(time.Second)}
			_ = f.relay.Forward(context.Background(), q, &gateway.ResponseWriter{})
		}
	})
	for version := uint64(1); version <= documents; version++ {
		content := []byte(strconv.FormatUint(version, 10))
		g.onView(model.NewView(&lilacv1.Snapshot{Revision: version, Document: &lilacv1.Document{Version: version, Content: content}}))
		time.Sleep(time.Millisecond)
	}
	callers.Wait()
	is.True(asked.Load() > 0)
	is.Equal(unknown.Load(), int64(0))
}

// An instance that has just started has its document but not yet the list of backend
// servers. It must not publish a routing table before it has both, otherwise requests
// are refused for an unknown class.
func TestRequestsWaitForTheListOfServersAfterAStart(t *testing.T) {
	is := is.New(t)
	core := scriptedCore(func(policy.Event) []policy.Action { return nil })
	f := startWith(t, testSettings(), core)
	g := &gatewayRouter{daemon: &Daemon{entry: f.Entry}, logger: hclog.NewNullLogger(), platform: numberedPlatform{}}
	g.onView(model.NewView(&lilacv1.Snapshot{Revision: 1, Document: &lilacv1.Document{Version: 1, Content: []byte("1")}}))
	is.Equal(g.Table(), nil) // requests wait or are refused with Retry-After
	g.onList([]routing.Server{{Name: "desk-1", Identity: "desk-1", Service: "desk", Address: "127.0.0.1:1", DataCenter: "dakar-a", Slots: 1}})
	is.Equal(g.Table().Document.Version, uint64(1))
}
