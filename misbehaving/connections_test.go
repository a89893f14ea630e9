package misbehaving

import (
	"bufio"
	"maps"
	"testing"
)

// few are limits of which descriptors are the scarce ones.
var few = limits{memoryMB: 80, descriptors: 200}

func writeNothing(*bufio.Writer, int) error { return nil }

func writeHalfHead(w *bufio.Writer, _ int) error {
	_, err := w.WriteString("GET /look/x HTTP/1.1\r\nHost: h")
	return err
}

// Guards against connections that take all descriptors of a process: it could open none itself, and
// ordinary callers would get none.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	servers := maps.Clone(httpServers)
	maps.Copy(servers, links)
	for name, address := range servers {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, few)
			s.withstand(t, crowd{address: address(s), connections: 300, write: writeNothing})
		})
	}
}

// Guards against the same by connections that have sent a part of a head.
func TestHalfHeadsLeaveDescriptors(t *testing.T) {
	s := newSystem(t, few)
	s.withstand(t, crowd{address: s.callers, connections: 300, write: writeHalfHead})
}
