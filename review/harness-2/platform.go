package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// listed is an entry of the platform's list of replicas.
type listed struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	Cold       int    `json:"coldRemainingMs"`
	Identifier string `json:"identifier"`
}

// platform is a stand-in for the platform's list of replicas.
type platform struct {
	address string

	mu        sync.Mutex
	instances []listed
}

func startPlatform(address string) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String(), instances: []listed{}}
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// ServeHTTP answers GET /replicas.
func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.instances, "next": nil})
}

func (p *platform) list(instances ...listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}
