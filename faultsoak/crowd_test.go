package faultsoak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// crowdSize is the number of ill-behaved clients of each kind.
	crowdSize = 8
	// crowdBytes is what a client sends that has no end.
	crowdBytes = 1 << 20
)

// shortLines returns distinct header lines of a few bytes.
func shortLines(count int) string {
	var text strings.Builder
	for n := range count {
		fmt.Fprintf(&text, "x%x:\r\n", n)
	}
	return text.String()
}

// misbehaviors are what ill-behaved clients send; see package misbehaving, which checks what they cost.
var misbehaviors = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(crowdBytes/8),
	standin.RawHead("plan", "crowd", "none", true) + shortLines(2000) + "\r\n",
	"POST /look/x HTTP/1.1\r\nHost: h.example\r\n" + shortLines(1000),
	"GET /" + strings.Repeat("a", crowdBytes),
	strings.Repeat("\r\n", crowdBytes/2),
	"PUT " + standin.ControlPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n" + strings.Repeat("{},", crowdBytes/3),
	"",
}

// crowdSteps sends crowds of ill-behaved clients to entries and to the operators' interface.
func crowdSteps(seed uint64, length time.Duration, states, entries int) []step {
	random := rand.New(rand.NewPCG(seed, 88))
	var steps []step
	for at := warmUp; at < length; at += time.Duration(1000+random.IntN(3000)) * time.Millisecond {
		entry, state := random.IntN(entries), random.IntN(states)
		duration := time.Duration(200+random.IntN(1500)) * time.Millisecond
		steps = append(steps, step{at, fmt.Sprintf("ill-behaved clients at entry-%d and state-%d for %v", entry, state, duration), func(r *run) {
			for _, address := range []string{r.fleet.entries[entry].callers, r.fleet.states[state].control} {
				for number := range crowdSize * len(misbehaviors) {
					r.background(func() { r.misbehave(address, misbehaviors[number%len(misbehaviors)], duration) })
				}
			}
		}})
	}
	return steps
}

// misbehave sends the text and keeps the connection open for the duration.
func (r *run) misbehave(address, text string, duration time.Duration) {
	conn, err := net.DialTimeout("tcp", address, duration)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(duration))
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_, _ = io.WriteString(conn, text)
	r.sleep(duration)
}
