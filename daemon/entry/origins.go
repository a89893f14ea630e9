package entry

import (
	"maps"
	"slices"

	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// newOrigins returns the exchange of the origins of streams with other entries.
func (d *Daemon) newOrigins() *originlink.Link {
	return originlink.New(originlink.Options{
		Self: member.Peer{Name: d.settings.Name, Address: d.settings.AdvertisedLink().Value, DataCenter: d.settings.DataCenter},
		Dial: d.dialer.dial, Versions: d.versions,
	})
}

// versions returns what this instance knows of the service's software versions.
func (d *Daemon) versions(service string) admission.Record {
	age := d.watcher.Staleness()
	return admission.RecordOf(d.watcher.Current(), service, age)
}

// setKeepers tells which state processes keep copies of origins. They share names with entries that
// run on the same machine.
func (d *Daemon) setKeepers(members []settings.Peer) {
	keepers := make([]member.Peer, 0, len(members))
	for _, peer := range members {
		keepers = append(keepers, member.Peer{Name: "state/" + peer.Name, Address: peer.Address.Value, DataCenter: peer.DataCenter})
	}
	d.origins.SetKeepers(keepers)
}

// countVersions returns the number of software versions of all services, by state.
func (d *Daemon) countVersions() map[string]int {
	view := d.watcher.Current()
	if view == nil {
		return nil
	}
	return admission.CountStates(slices.Concat(slices.Collect(maps.Values(view.Versions))...))
}
