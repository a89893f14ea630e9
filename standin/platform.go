package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	// Role is entry, state or server.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// InstanceList is the JSON form of the platform's list of instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

type versionedList struct {
	list InstanceList
	at   time.Time
}

// Platform serves the platform's list of instances. Changes become visible after a lag.
type Platform struct {
	lag time.Duration

	mu sync.Mutex
	// versions are in order of time; the first is visible. Guarded by mu.
	versions []versionedList
}

// NewPlatform returns a Platform with an initial list that is visible at once.
func NewPlatform(lag time.Duration, first InstanceList) *Platform {
	if first.Instances == nil {
		first.Instances = []Instance{}
	}
	return &Platform{lag: lag, versions: []versionedList{{list: first}}}
}

// Routes registers the handler of the list: GET returns it, POST replaces it.
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
