package entry

import (
	"context"

	"github.com/lilacbridge/lilacbridge/connection/loadlink"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// newLoads connects the policy core to the exchange of load reports between entries.
func (d *Daemon) newLoads() *loadlink.Link {
	return loadlink.New(loadlink.Options{
		Self:    member.Peer{Name: d.settings.Name, Address: d.settings.AdvertisedLink().Value, DataCenter: d.settings.DataCenter},
		Dial:    d.dialer.dial,
		Own:     d.ownLoads,
		OnLoads: func(report loadboard.Report) { d.entry.relay.Post(policy.PeerLoads{Report: report}) },
	})
}

// ownLoads returns the core's load report, or false if the core does not answer within
// digestTimeout.
func (d *Daemon) ownLoads() (loadboard.Report, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), digestTimeout)
	defer cancel()
	report, err := d.entry.relay.Loads(ctx)
	if err != nil {
		d.logger.Warn("policy core did not report its loads in time; repeating the previous report", "error", err)
		return loadboard.Report{}, false
	}
	return report, true
}

// memberPeers converts the peers for the membership and load exchange.
func memberPeers(peers []settings.Peer) []member.Peer {
	members := make([]member.Peer, 0, len(peers))
	for _, p := range peers {
		members = append(members, member.Peer{Name: p.Name, Address: p.Address.Value, DataCenter: p.DataCenter})
	}
	return members
}
