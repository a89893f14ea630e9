// Package loopback finds addresses for processes that stop and start again on
// one machine.
//
// It guards against a port that is lost between two lives of a process: the
// kernel may give a port that nobody listens at to an outgoing connection. It
// shows as "address already in use" at the second start.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
)

const (
	// The ports below the range from which systems take outgoing ones.
	firstPort   = 10_000
	lastPort    = 32_767
	maxAttempts = 200
)

// ErrNoPort is the error of a machine on which every port tried was taken.
var ErrNoPort = errors.New("found no free loopback port from 10000 to 32767; end processes that hold some")

// Listen listens at a port of an address of this process alone. It holds since
// outgoing connections are from 127.0.0.1, and another process has another
// address. Only Linux gives all of 127.0.0.0/8 to the loopback interface.
func Listen() (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
}

// ListenBelowClients listens at 127.0.0.1, at a port that no outgoing
// connection gets. It returns ErrNoPort where it finds none.
func ListenBelowClients() (net.Listener, error) {
	for range maxAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, ErrNoPort
}
