package faultsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode determines how a proxy treats data.
type proxyMode int

const (
	passing proxyMode = iota
	// delaying delays each read.
	delaying
	// blackhole forwards nothing and keeps connections open.
	blackhole
	// dropInbound forwards only data from the process; data sent to it is lost.
	dropInbound
)

// proxy forwards connections to one process. Other processes know only its address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	p.track(from, true)
	p.track(to, true)
	defer p.track(from, false)
	defer p.track(to, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(to, from, true); done <- struct{}{} }()
	go func() { p.copy(from, to, false); done <- struct{}{} }()
	<-done
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

// copy forwards data according to the current mode. inward means towards the process.
func (p *proxy) copy(to io.Writer, from io.Reader, inward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(inward) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes delays as the mode requires and reports whether the data is forwarded. Once data
// is lost its connection must be reset, since later data would not follow the earlier.
func (p *proxy) passes(inward bool) bool {
	p.mu.Lock()
	mode, delay := p.mode, p.delay
	p.mu.Unlock()
	switch mode {
	case delaying:
		time.Sleep(delay)
	case blackhole:
		return p.waitForReset()
	case dropInbound:
		return !inward || p.waitForReset()
	}
	return true
}

// waitForReset blocks until the partition ends, which resets the connection, and returns
// false.
func (p *proxy) waitForReset() bool {
	for {
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		if mode != blackhole && mode != dropInbound {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// set changes the mode. The end of a partition resets all connections.
func (p *proxy) set(mode proxyMode, delay time.Duration) {
	p.mu.Lock()
	previous := p.mode
	p.mode, p.delay = mode, delay
	p.mu.Unlock()
	if previous == blackhole || previous == dropInbound {
		p.reset()
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}
