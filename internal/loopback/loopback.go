// Package loopback allocates loopback addresses for processes that are restarted
// on one machine.
//
// While a process is down, the kernel may assign its port to an outgoing
// connection, and the restart fails with "address already in use". The addresses
// of this package are not used for outgoing connections.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
)

const (
	// Ports below the ephemeral range, from which the kernel assigns ports to
	// outgoing connections.
	firstPort   = 10_000
	lastPort    = 32_767
	maxAttempts = 200
)

// ErrNoPort is returned when all ports tried are in use.
var ErrNoPort = errors.New("no free loopback port found from 10000 to 32767; stop processes that listen in this range")

// Listen listens on a free port of a loopback address derived from the process
// ID. The port stays available after the listener is closed: outgoing connections
// use 127.0.0.1, and other processes use other addresses. It needs Linux, which
// assigns all of 127.0.0.0/8 to the loopback interface.
func Listen() (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
}

// ListenBelowClients listens on 127.0.0.1, on a port below the ephemeral range.
// It returns ErrNoPort if it finds no free port.
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
