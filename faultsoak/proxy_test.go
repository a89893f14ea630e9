package faultsoak

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
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
	// name is the name of the process. isCut reports whether a process is cut off from all others.
	name  string
	isCut func(name string) bool

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	conns map[net.Conn]bool
}

func newProxy(address, target, name string, isCut func(name string) bool) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, name: name, isCut: isCut, conns: make(map[net.Conn]bool)}
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
	dialer := &dialer{}
	go func() { p.copy(to, from, true, dialer); done <- struct{}{} }()
	go func() { p.copy(from, to, false, dialer); done <- struct{}{} }()
	<-done
}

// dialer is the process that opened a connection, by the first message that it sends.
type dialer struct {
	mu   sync.Mutex
	read bool
	name string
}

// observe reads the dialer's name from the first bytes that it sends.
func (d *dialer) observe(first []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.read {
		return
	}
	d.read = true
	hello := &lilacv1.LinkHello{}
	if protodelim.UnmarshalFrom(bytes.NewReader(first), hello) == nil {
		d.name = hello.GetProcess()
	}
}

func (d *dialer) process() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.name
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

// copy forwards data according to the current mode. inward means towards the process. Data that
// is held back while an end of the connection is cut off is lost, and the connection ends.
func (p *proxy) copy(to io.Writer, from io.Reader, inward bool, d *dialer) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && inward {
			d.observe(buffer[:n])
		}
		if n > 0 && p.waitForCut(d) {
			return
		}
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

// waitForCut blocks while the process or the dialer is cut off, and reports whether one was.
func (p *proxy) waitForCut(d *dialer) (was bool) {
	for p.isCut(p.name) || p.isCut(d.process()) {
		was = true
		time.Sleep(20 * time.Millisecond)
	}
	return was
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
