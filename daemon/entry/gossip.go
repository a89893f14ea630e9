package entry

import (
	"context"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/gossip"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// digestTimeout bounds the wait for the core's digest or load report.
const digestTimeout = 200 * time.Millisecond

// newGossip connects the policy core to the membership protocol.
func (d *Daemon) newGossip() *gossip.Gossip {
	relay := d.entry.relay
	return gossip.New(gossip.Options{
		Self:         member.Peer{Name: d.settings.Name, Address: d.settings.AdvertisedLink().Value, DataCenter: d.settings.DataCenter},
		Entries:      d.settings.Entries,
		Interval:     d.settings.DigestInterval.Duration,
		Dial:         d.dialer.dial,
		InstanceList: d.settings.InstanceList,
		OwnDigest:    d.ownDigest,
		OnDigest: func(digest *lilacv1.Digest, at time.Time) {
			relay.Post(policy.PeerDigest{Digest: digest, At: at})
		},
		OnDigestExpired: func(instance string) { relay.Post(policy.PeerGone{Instance: instance}) },
		OnServerState: func(server string, leaving bool) {
			relay.Post(policy.ServerState{Server: server, Leaving: leaving})
		},
		OnLivePeers: d.setLive,
		Logger:      d.logger,
	})
}

func (d *Daemon) ownDigest() *lilacv1.Digest {
	ctx, cancel := context.WithTimeout(context.Background(), digestTimeout)
	defer cancel()
	digest, err := d.entry.Digest(ctx)
	if err != nil {
		digest = &lilacv1.Digest{Leaving: d.entry.leaving.Load(), Incomplete: true}
	}
	digest.Revision = d.watcher.Revision()
	return digest
}

func (d *Daemon) setLive(peers []settings.Peer) {
	d.mu.Lock()
	d.live = peers
	d.mu.Unlock()
	if d.settings.Gateway == nil {
		// With a gateway, every entry follows the state processes directly, so that a
		// partitioned entry can't delay the others of its data centre.
		d.watcher.SetEntries(peers)
	}
	d.loads.SetPeers(memberPeers(peers))
	d.retries.SetPeers(memberPeers(peers))
	d.setPathPeers(peers)
	if d.origins != nil {
		d.origins.SetPeers(memberPeers(peers))
	}
	d.entry.relay.Post(policy.Fleet{Others: policyInstances(peers)})
	d.orders.SetPosition(d.position(peers))
	d.entry.poller.SetBudget(pollBudget(len(peers)+1, d.isRelay(peers)))
}

// pollBudget returns the budget for polling servers in bytes per second, given the
// number of entries. The relay of a data centre gets less, because forwarding digests
// uses most of its budget for control traffic.
func pollBudget(entries int, relay bool) int {
	switch {
	case entries <= member.MeshLimit:
		return engine.MeshPollBudget
	case relay:
		return engine.RelayPollBudget
	}
	return engine.TreePollBudget
}

// isRelay reports whether this entry ranks first in its data centre.
func (d *Daemon) isRelay(peers []settings.Peer) bool {
	return member.Position(d.settings.Name, d.dataCenterPeers(peers)) == 0
}

// position returns how many entries of this data centre rank below this one. Entries
// with the lowest rank request the order lease first: those with the highest rank
// forward the others' digests and have the least budget left for the load readings
// that the lease holder makes.
func (d *Daemon) position(peers []settings.Peer) int {
	names := d.dataCenterPeers(peers)
	return len(names) - member.Position(d.settings.Name, names)
}

// dataCenterPeers returns the names of the other entries in this data centre.
func (d *Daemon) dataCenterPeers(peers []settings.Peer) []string {
	var names []string
	for _, p := range peers {
		if p.DataCenter == d.settings.DataCenter {
			names = append(names, p.Name)
		}
	}
	return names
}

// policyInstances converts the peers for the policy.
func policyInstances(peers []settings.Peer) []policy.Instance {
	others := make([]policy.Instance, 0, len(peers))
	for _, p := range peers {
		others = append(others, policy.Instance{Name: p.Name, DataCenter: p.DataCenter})
	}
	return others
}
