package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// operatorPatience is how long the operator waits for a response before it goes to another node.
	operatorPatience = time.Second
	// maxRedirects is how often the operator follows a 307.
	maxRedirects = 2
	// minBackoff and maxBackoff bound the pauses between two nodes.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// operator is a stand-in for the operator.
type operator struct {
	fleet  *fleet
	client *http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{
		Timeout:       operatorPatience,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// put sends the config, unchanged and to one node after the other, until it gets a clear response or
// the time since the start of the case is over. acknowledged is false without a 200.
func (o *operator) put(config []byte, until time.Duration) (acknowledged bool) {
	backoff, last := minBackoff, ""
	for node := 0; o.fleet.since() < until; node++ {
		core := o.fleet.cores[node%len(o.fleet.cores)]
		status, text := o.send(fmt.Sprintf("http://%s:%d/configuration", core.address, o.fleet.controlPort), config)
		if said := fmt.Sprint(status, " ", text); said != last {
			o.fleet.record.line("operator: PUT /configuration at %s: %s", core.name, said)
			last = said
		}
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}

// send makes one call and follows redirects. The status is 0 without a response.
func (o *operator) send(target string, config []byte) (status int, text string) {
	for range maxRedirects + 1 {
		request, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(config))
		if err != nil {
			return 0, err.Error()
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := o.client.Do(request)
		if err != nil {
			return 0, "no response"
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(body))
		if status != http.StatusTemporaryRedirect {
			break
		}
		target = response.Header.Get("Location")
	}
	return status, text
}

// leader returns the number of the core machine that acknowledges configs: the others redirect.
func (o *operator) leader() int {
	for i, core := range o.fleet.cores {
		response, err := o.client.Get(fmt.Sprintf("http://%s:%d/configuration", core.address, o.fleet.controlPort))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return i
		}
	}
	return 0
}

// readBack reads the config at one node after the other until the version is at least wanted, or the
// time since the start of the case is over. It returns the newest version read, 0 if none came.
func (o *operator) readBack(until time.Duration, wanted int) (newest int) {
	last := ""
	for node := 0; o.fleet.since() < until && newest < wanted; node++ {
		core := o.fleet.cores[node%len(o.fleet.cores)]
		status, body := o.read(fmt.Sprintf("http://%s:%d/configuration", core.address, o.fleet.controlPort))
		var config struct {
			Version int `json:"version"`
		}
		said := fmt.Sprint(status, " ", strings.TrimSpace(string(body)))
		if status == http.StatusOK && json.Unmarshal(body, &config) == nil {
			newest = max(newest, config.Version)
			said = fmt.Sprintf("200, version %d", config.Version)
		}
		if said != last {
			o.fleet.record.line("operator: GET /configuration at %s: %s", core.name, said)
			last = said
		}
		time.Sleep(minBackoff)
	}
	return newest
}

// read makes one call and follows redirects. The status is 0 without a response.
func (o *operator) read(target string) (status int, body []byte) {
	for range maxRedirects + 1 {
		response, err := o.client.Get(target)
		if err != nil {
			return 0, nil
		}
		status = response.StatusCode
		body, _ = io.ReadAll(response.Body)
		response.Body.Close()
		if status != http.StatusTemporaryRedirect {
			break
		}
		target = response.Header.Get("Location")
	}
	return status, body
}

// object is a JSON object.
type object = map[string]any

// smallConfig returns a valid config with two routes to one plain service.
func smallConfig(version int) ([]byte, error) {
	route := func(name, prefix, kind string) object {
		return object{
			"name": name, "host": "host.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 5000, "targetLatencyMs": 200,
			"priority": 2, "service": "desk", "maxAttempts": 1, "public": false, "sessionAffinity": false, "streamResumption": false, "eventGapMs": 0,
		}
	}
	return json.Marshal(object{
		"version":  version,
		"routes":   []object{route("r-book", "/book/", "non_idempotent"), route("r-look", "/look/", "idempotent")},
		"services": []object{{"name": "desk", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tlsEnabled": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a"}, "priority": 1}},
	})
}
