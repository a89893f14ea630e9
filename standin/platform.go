package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Instance is one line of the platform's list.
type Instance struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	// Role is entry, state or server.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// InstanceList is the platform's list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

type versionedList struct {
	list InstanceList
	at   time.Time
}

// Platform is a stand-in for the platform's list of instances.
type Platform struct {
	lag      time.Duration
	mu       sync.Mutex
	versions []versionedList
}

// NewPlatform makes a list whose changes show after the lag.
func NewPlatform(lag time.Duration, first InstanceList) *Platform {
	if first.Instances == nil {
		first.Instances = []Instance{}
	}
	return &Platform{lag: lag, versions: []versionedList{{list: first}}}
}

// Routes adds the list to an HTTP server.
func (p *Platform) Routes(server *khttp.Server) {
	server.HandleFunc("/instances", p.serve)
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, p.visible(time.Now()))
		return
	}
	var list InstanceList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.set(list, time.Now())
	writeJSON(w, list)
}

func (p *Platform) set(list InstanceList, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = append(p.versions, versionedList{list: list, at: now})
}

func (p *Platform) visible(now time.Time) InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.versions) > 1 && now.Sub(p.versions[1].at) >= p.lag {
		p.versions = p.versions[1:]
	}
	return p.versions[0].list
}
