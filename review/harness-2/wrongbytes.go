package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deskReplicas = 3
	// spoilingReplicas of them replace one answer in spoilEvery, which is less than 0.03 of them.
	spoilingReplicas = 1
	spoilEvery       = 34
	// requesters send a request every requestPause each, for playTime.
	requesters   = 24
	requestPause = 1500 * time.Millisecond
	playTime     = 40 * time.Second
)

// outcome counts what the requesters got.
type outcome struct {
	mu                                 sync.Mutex
	whole, failed, unsigned, misplaced int
}

// wrongBytesCase lets one replica of three hand out wrong bytes now and then. Requesters count the
// successes that bear no signature of a replica, or not that of their own attempt.
func wrongBytesCase(f *fleet, trouble bool) (broken bool, err error) {
	var instances []listed
	var replicas []*replica
	for i := range deskReplicas {
		spoils := 0
		if trouble && i < spoilingReplicas {
			spoils = spoilEvery
		}
		r, err := startReplica(fmt.Sprintf("i-desk-%d", i+1), f.network+fmt.Sprint(firstReplica+i), spoils)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
		instances = append(instances, listed{
			Service: "desk", Address: r.address, Zone: zones[i], Version: "v1", Slots: 6, State: "ready", Identifier: r.identifier,
		})
	}
	f.platform.list(instances...)
	if err := f.startAll(); err != nil {
		return false, err
	}
	config, err := smallConfig(1)
	if err != nil {
		return false, err
	}
	if !newOperator(f).put(config, f.since()+startTimeout) {
		return false, fmt.Errorf("the first config was not acknowledged")
	}
	time.Sleep(settleWindow)
	got := &outcome{}
	var asking sync.WaitGroup
	until := f.since() + playTime
	for i := range requesters {
		asking.Go(func() { f.request(i, until, got) })
	}
	asking.Wait()
	if err := f.checkRunning(); err != nil {
		return false, err
	}
	for _, r := range replicas {
		answers, spoiled := r.counts()
		f.record.line("%s: %d requests ran, %d answers were wrong bytes", r.identifier, answers, spoiled)
	}
	f.record.line("requesters: %d whole answers, %d failures, %d successes without a signature, %d with another's", got.whole, got.failed, got.unsigned, got.misplaced)
	if got.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return got.unsigned+got.misplaced > 0, nil
}

// request sends bookings and lookups to one frontend, one after the other.
func (f *fleet) request(number int, until time.Duration, got *outcome) {
	m := f.entries[number%len(f.entries)]
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	for n := 0; f.since() < until; n++ {
		id := fmt.Sprintf("a%d-%d", number, n)
		method, path, body := http.MethodPost, "/book/", "book "+id
		if n%2 == 1 {
			method, path, body = http.MethodGet, "/look/", ""
		}
		q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", m.address, f.callerPort, path, id), strings.NewReader(body))
		if err != nil {
			return
		}
		q.Host = "host.example"
		q.Header.Set("Attempt-Id", id)
		q.Header.Set("Authorization", "Bearer key-of-tenant-a")
		q.Header.Set("Deadline-Ms", "2000")
		f.judge(client, q, id, got)
		time.Sleep(requestPause)
	}
}

func (f *fleet) judge(client *http.Client, q *http.Request, id string, got *outcome) {
	response, err := client.Do(q)
	if err != nil {
		got.count(func() { got.failed++ })
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch mac := response.Header.Get("Replica-Signature"); {
	case err != nil || response.StatusCode != http.StatusOK:
		f.record.line("%s %s: %d %v", q.Method, id, response.StatusCode, err)
		got.count(func() { got.failed++ })
	case mac == "":
		f.record.line("%s %s: 200 without a signature, body %q", q.Method, id, body)
		got.count(func() { got.unsigned++ })
	case mac != signature(id):
		f.record.line("%s %s: 200 with signature %s", q.Method, id, mac)
		got.count(func() { got.misplaced++ })
	default:
		got.count(func() { got.whole++ })
	}
}

func (o *outcome) count(add func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	add()
}
