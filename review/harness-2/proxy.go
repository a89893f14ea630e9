package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyDialTimeout bounds the dial to the target of a proxied channel.
const proxyDialTimeout = time.Second

// proxy forwards TCP channels to one process. Channels that are open may go silent for good, while
// new ones work.
type proxy struct {
	target string

	mu       sync.Mutex
	channels []*channel
}

// channel is one proxied channel.
type channel struct{ silent atomic.Bool }

func startProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		reset(near)
		return
	}
	c := &channel{}
	p.mu.Lock()
	p.channels = append(p.channels, c)
	p.mu.Unlock()
	go c.copy(near, far)
	c.copy(far, near)
}

// copy forwards bytes in one direction, and an end as an end, a reset as a reset. What arrives on a
// silent channel is dropped.
func (c *channel) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// silence lets the open channels go silent, and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.channels {
		c.silent.Store(true)
	}
	count := len(p.channels)
	p.channels = nil
	return count
}
