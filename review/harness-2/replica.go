package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// workTime is how long a replica works on a request.
const workTime = 15 * time.Millisecond

// wrongBytes are no response in the protocol: neither Attempt-Id nor Replica-Signature is there.
const wrongBytes = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwrong bytes"

// replica is a stand-in for a replica of a plain service.
type replica struct {
	identifier, address string
	// spoils is every how manyth answer is replaced by wrong bytes; 0 for none.
	spoils int

	mu      sync.Mutex
	answers int
	// ran holds the Attempt-Ids that ran; spoiled those whose answer was replaced.
	ran, spoiled map[string]bool
}

func startReplica(identifier, host string, spoils int) (*replica, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{identifier: identifier, address: listener.Addr().String(), spoils: spoils, ran: make(map[string]bool), spoiled: make(map[string]bool)}
	go func() { _ = http.Serve(listener, r) }()
	return r, nil
}

// ServeHTTP answers a request as the protocol says, but for spoiled answers.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	switch expected := q.Header.Get("Expected-Replica"); {
	case q.URL.Path == "/health":
		w.Header().Set("Replica-Id", r.identifier)
		return
	case expected != "" && expected != r.identifier:
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "another replica is expected")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(workTime)
	if r.spoil(id) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, wrongBytes)
		_ = conn.Close()
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Signature", signature(id))
	fmt.Fprintf(w, "answer to %s by %s", id, r.identifier)
}

// spoil counts an answer and reports whether it is replaced by wrong bytes.
func (r *replica) spoil(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	r.ran[id] = true
	if r.spoils == 0 || r.answers%r.spoils != 0 {
		return false
	}
	r.spoiled[id] = true
	return true
}

// counts returns how many answers there were and how many were spoiled.
func (r *replica) counts() (answers, spoiled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers, len(r.spoiled)
}

func signature(id string) string { return "mac-of-" + id }
