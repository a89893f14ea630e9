package faultsoak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

// backend is a backend server. Its version never changes: a server is replaced by another one
// with its own identity and address.
type backend struct {
	*standin.Server
	place   int
	version string
	// since is when the list first showed the server.
	since time.Time
	// listed is guarded by the fleet.
	listed bool
}

func serviceOf(place int) string { return []string{"desk", "engines"}[place%2] }

// oneVersion and twoVersions are the software versions with which fleets start.
func oneVersion(int) string { return "v1" }

func twoVersions(place int) string { return fmt.Sprintf("v%d", 1+place/2%2) }

// addServer starts a server and lists it beside the one that has had the place so far, which it
// returns.
func (f *fleet) addServer(place int, version string) (replaced *backend, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	identity := fmt.Sprintf("%s-%d", serviceOf(place), place)
	if f.current[place] != nil {
		identity += fmt.Sprintf("-%d", len(f.backends))
	}
	s := &standin.Server{Identity: identity, Events: streamEvents, Gap: 10 * time.Millisecond}
	if err := s.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	replaced = f.current[place]
	f.current[place] = &backend{Server: s, place: place, version: version, since: time.Now(), listed: true}
	f.backends = append(f.backends, f.current[place])
	return replaced, nil
}

// removeServer takes a server off the list.
func (f *fleet) removeServer(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.listed = false
}

// server returns the newest server at a place.
func (f *fleet) server(place int) *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[place].Server
}

// allServers returns all servers that ever started.
func (f *fleet) allServers() []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.backends)
}

// versionsListed returns how many versions of the service the list has ever shown.
func (f *fleet) versionsListed(service string) int {
	versions := make(map[string]bool)
	for _, b := range f.allServers() {
		if serviceOf(b.place) == service {
			versions[b.version] = true
		}
	}
	return len(versions)
}

// listenForList serves the platform's list to one process, and returns the address.
func (f *fleet) listenForList(process string) (string, error) {
	list, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(list, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveList(w, r, process) }))
	}()
	return list.Addr().String(), nil
}

// serveList serves the platform's list of backend servers. A process that is cut off gets no answer.
func (f *fleet) serveList(w http.ResponseWriter, r *http.Request, process string) {
	for f.isCut(process) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	f.writeList(w)
}

// list returns the entries of the servers.
func (f *fleet) list() (list []standin.ListedServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.backends {
		if b.listed {
			list = append(list, standin.ListedServer{
				Identity: b.Identity, Service: serviceOf(b.place), Address: b.Address(),
				DataCenter: fmt.Sprintf("dc-%d", b.place/2%3), Slots: 8, Leaving: !f.drainingSince[b.Identity].IsZero(),
				Version: b.version,
			})
		}
	}
	return list
}

// setCut cuts a process off from all others and from the list, or ends this. Callers and servers
// still reach it.
func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cut[name] = true
	} else {
		delete(f.cut, name)
	}
}

func (f *fleet) isCut(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[name]
}
