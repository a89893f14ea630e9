package entry

import (
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// newOrigins returns the exchange of the origins of streams with other entries.
func (d *Daemon) newOrigins() *originlink.Link {
	return originlink.New(originlink.Options{
		Self: member.Peer{Name: d.settings.Name, Address: d.settings.AdvertisedLink().Value, DataCenter: d.settings.DataCenter},
		Dial: d.dialer.dial,
	})
}

// setListedOrigins passes on the software versions that the list shows.
func (d *Daemon) setListedOrigins(servers []routing.Server) {
	if d.origins != nil {
		d.origins.SetListed(originsOf(servers))
	}
}

// originsOf returns the services and software versions of the servers.
func originsOf(servers []routing.Server) []streamorigin.Origin {
	origins := make([]streamorigin.Origin, 0, len(servers))
	for _, server := range servers {
		origins = append(origins, streamorigin.Origin{Service: server.Service, Version: server.SoftwareVersion})
	}
	return origins
}
