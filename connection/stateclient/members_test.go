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

// Each of 194 entries had six state processes send it the whole list of entries each two
// seconds, 11 KB at a time: three quarters of all bytes between regions. An answer that
// stands is told by its version alone, and a changed one is taken.
func TestAGroupThatStandsIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	full := &lilacv1.StateMembers{Version: 7, Members: []*lilacv1.StateMember{{Name: "s1", Address: "s1"}}, Entries: []*lilacv1.StateMember{{Name: "e2", Address: "e2"}}}
	sent := 0
	mux := link.NewMux()
	mux.Handle("state.members", link.Unary(func(_ context.Context, _ link.Peer, r *lilacv1.StateMembersRequest) (*lilacv1.StateMembers, error) {
		if r.GetHave() == full.GetVersion() {
			return &lilacv1.StateMembers{Version: full.GetVersion()}, nil
		}
		sent++
		return full, nil
	}))
	caller := &link.Local{Mux: mux}
	peers := []settings.Peer{{Name: "s1", Address: settings.Address{Value: "s1"}}, {Name: "s2", Address: settings.Address{Value: "s2"}}}
	c := New(Options{Instance: "e1", Peers: peers, Dial: func(string) link.Caller { return caller }})
	ask := func() (members, entries []settings.Peer) {
		members, entries, err := c.Members(t.Context(), settings.Peer{Name: "e1"})
		is.NoErr(err)
		return members, entries
	}
	for range 5 {
		members, entries := ask()
		is.Equal(len(members), 1)
		is.Equal(len(entries), 1)
	}
	is.Equal(sent, 2) // once from each
	full = &lilacv1.StateMembers{Version: 8, Members: full.Members, Entries: append(full.Entries, &lilacv1.StateMember{Name: "e3", Address: "e3"})}
	_, entries := ask()
	is.Equal(len(entries), 2)
	c.SetPeers(peers[:1])
	is.Equal(len(c.groups), 1) // who left the group is forgotten
}

// State processes of an earlier build give no version: what they say is taken each time.
func TestAnswersWithoutAVersionAreTakenEachTime(t *testing.T) {
	is := is.New(t)
	reply := &lilacv1.StateMembers{Members: []*lilacv1.StateMember{{Name: "s1", Address: "s1"}}}
	mux := link.NewMux()
	mux.Handle("state.members", link.Unary(func(context.Context, link.Peer, *lilacv1.StateMembersRequest) (*lilacv1.StateMembers, error) {
		return reply, nil
	}))
	caller := &link.Local{Mux: mux}
	c := New(Options{Instance: "e1", Peers: []settings.Peer{{Name: "s1", Address: settings.Address{Value: "s1"}}}, Dial: func(string) link.Caller { return caller }})
	for entries := range 3 {
		_, known, err := c.Members(t.Context(), settings.Peer{Name: "e1"})
		is.NoErr(err)
		is.Equal(len(known), entries)
		reply = &lilacv1.StateMembers{Members: reply.Members, Entries: append(reply.Entries, &lilacv1.StateMember{Name: string(rune('a' + entries))})}
	}
}
