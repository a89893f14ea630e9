package stateclient

import (
	"context"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// An entry starts in the same moment as the state processes. They answer, but have
// founded no group yet. The entry must keep to its seeds and ask again; it took the
// empty list for the group and knew nobody any more.
func TestProcessesWithoutAGroupNameNobody(t *testing.T) {
	is := is.New(t)
	var members []*lilacv1.StateMember
	mux := link.NewMux()
	mux.Handle("state.members", link.Unary(func(context.Context, link.Peer, *lilacv1.StateMembersRequest) (*lilacv1.StateMembers, error) {
		return &lilacv1.StateMembers{Members: members}, nil
	}))
	caller := &link.Local{Mux: mux}
	c := New(Options{Instance: "e1", Peers: []settings.Peer{{Name: "s1", Address: settings.Address{Value: "s1"}}}, Dial: func(string) link.Caller { return caller }})
	_, _, err := c.Members(t.Context(), settings.Peer{Name: "e1"})
	is.True(err != nil)
	members = []*lilacv1.StateMember{{Name: "s1", Address: "s1"}}
	peers, _, err := c.Members(t.Context(), settings.Peer{Name: "e1"})
	is.NoErr(err)
	is.Equal(len(peers), 1)
}
