package faultsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to the bytes that pass.
type proxyMode int

const (
	passing proxyMode = iota
	// delaying holds each piece back for a while.
	delaying
	// silent passes nothing and closes nothing.
	blackhole
	// deaf passes answers only: what is sent to the process is lost.
	dropInbound
)

// proxy stands before one process. The others know its address only.
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

// copy passes bytes on as the mode of the moment says; inward is towards the process.
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

// passes waits as long as the mode says and tells whether a piece goes on. A lost
// piece breaks its connection for good: later ones would not follow what came before.
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

// waitForReset holds a piece until the mode ends; its connection is reset then.
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

// set changes the mode. The end of a cut resets what hung in it.
func (p *proxy) set(mode proxyMode, delay time.Duration) {
	p.mu.Lock()
	was := p.mode
	p.mode, p.delay = mode, delay
	p.mu.Unlock()
	if was == blackhole || was == dropInbound {
		p.reset()
	}
}

// reset breaks all connections at once.
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
