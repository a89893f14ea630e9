package stateclient

import (
	"context"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// An entry starts at the same time as the state processes, which answer before they have
// formed a group. The entry took the empty list for the group and had no process left to
// ask; it must keep its seeds and ask again.
func TestMembersFailsWithoutGroup(t *testing.T) {
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

// With 194 entries, each received the full list of entries, 11 KB, from six state processes
// every two seconds: three quarters of all bytes between regions. An unchanged list must be
// answered by its version alone, and a changed one must replace it.
func TestUnchangedMembersAreNotResent(t *testing.T) {
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
	is.Equal(sent, 2) // once by each process
	full = &lilacv1.StateMembers{Version: 8, Members: full.Members, Entries: append(full.Entries, &lilacv1.StateMember{Name: "e3", Address: "e3"})}
	_, entries := ask()
	is.Equal(len(entries), 2)
	c.SetPeers(peers[:1])
	is.Equal(len(c.memberReplies), 1) // replies of removed peers are dropped
}

// Replies of older state processes have no version and must be used every time.
func TestMembersWithoutVersionAreNotCached(t *testing.T) {
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
