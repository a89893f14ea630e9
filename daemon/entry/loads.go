package entry

import (
	"context"

	"github.com/lilacbridge/lilacbridge/connection/loadlink"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// newLoads joins the policy core with the board of loads.
func (d *Daemon) newLoads() *loadlink.Link {
	return loadlink.New(loadlink.Options{
		Self:    member.Peer{Name: d.settings.Name, Address: d.settings.AdvertisedLink().Value, DataCenter: d.settings.DataCenter},
		Dial:    d.dialer.dial,
		Own:     d.ownLoads,
		OnLoads: func(word loadboard.Report) { d.entry.relay.Post(policy.PeerLoads{Report: word}) },
	})
}

// ownLoads asks the core; false where it doesn't answer in time.
func (d *Daemon) ownLoads() (loadboard.Report, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), digestTimeout)
	defer cancel()
	word, err := d.entry.relay.Loads(ctx)
	if err != nil {
		d.logger.Warn("own loads not known in time; the last ones are told again", "error", err)
		return loadboard.Report{}, false
	}
	return word, true
}

func memberPeers(peers []settings.Peer) []member.Peer {
	members := make([]member.Peer, 0, len(peers))
	for _, p := range peers {
		members = append(members, member.Peer{Name: p.Name, Address: p.Address.Value, DataCenter: p.DataCenter})
	}
	return members
}
