package misbehaving

import (
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// endlessCopies is how many servers send each kind of bytes without end.
	endlessCopies = 6
	// endlessCallers send endlessRequests each, at the same time.
	endlessCallers  = 48
	endlessRequests = 4
)

// endlessBytesOfServers are what faulty servers send until the connection is closed.
func endlessBytesOfServers() (servers []standin.Endless) {
	head := standin.AnswerHead
	for range endlessCopies {
		servers = append(servers, []standin.Endless{
			{Unit: "x"},
			{Before: head + "X-A: ", Unit: "a"},
			{Before: head, Unit: "X-A: a\r\n"},
			{Before: head + "\r\n", Unit: "b"},
			{Before: head + "Transfer-Encoding: chunked\r\n\r\n", Unit: "1\r\nb\r\n"},
			{Before: head + "Content-Type: text/event-stream\r\n\r\n", Unit: "d"},
		}...)
	}
	return servers
}

// Guards against an instance that keeps what many faulty servers send without end, runs out of
// memory, and ends the requests of other callers with it.
func TestManyServersThatAnswerWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := newSystemWith(t, &system{limits: usual, grace: usualGrace, eventGap: usualEventGap, endless: endlessBytesOfServers()})
	var callers sync.WaitGroup
	for n := range endlessCallers {
		callers.Go(func() {
			for i := range endlessRequests {
				req, err := standin.NewRequest(s.callers, []string{"plan", "review"}[n%2], fmt.Sprint("endless-", n, "-", i), key, true)
				if err != nil {
					return
				}
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	is.NoErr(s.ordinary())
	callers.Wait()
	is.NoErr(s.ordinary())
	s.check(t)
}
