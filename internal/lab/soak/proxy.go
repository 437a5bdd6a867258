package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// Mode is what a proxy does with its connections.
type Mode string

// The modes of a proxy.
const (
	// Pass forwards everything.
	Pass Mode = "pass"
	// Slow delays each chunk in both directions.
	Slow Mode = "slow"
	// Reset resets open and new connections.
	Reset Mode = "reset"
	// Silent holds data back in both directions and keeps connections open.
	Silent Mode = "silent"
	// OneWay forwards requests and holds answers back.
	OneWay Mode = "one way"
)

const (
	slowDelay    = 150 * time.Millisecond
	pollInterval = 5 * time.Millisecond
	chunkBytes   = 16 << 10
)

// Proxy forwards TCP connections over loopback and can inject faults into them.
type Proxy struct {
	listener *linkcut.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// StartProxy starts a proxy to an address.
func StartProxy(target string) (*Proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, mode: Pass, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the proxy's IP:PORT.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Links returns the listener, whose links to callers can be cut.
func (p *Proxy) Links() *linkcut.Listener { return p.listener }

// SetMode sets the mode for all connections, including open ones.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Reset {
		p.resetAll()
	}
}

// StopAccepting refuses new connections and goes on with those that are open.
func (p *Proxy) StopAccepting() { _ = p.listener.Close() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
		delete(p.conns, c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == Reset {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(caller net.Conn) {
	callee, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[callee] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(callee, caller, false) })
	both.Go(func() { p.copy(caller, callee, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, callee)
	p.mu.Unlock()
	_ = caller.Close()
	_ = callee.Close()
}

// copy forwards one direction until it ends, and forwards how it ended: by a close or a reset.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, chunkBytes)
	for {
		count, err := from.Read(buffer)
		p.hold(answers)
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
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

// hold blocks for as long as the mode holds a chunk back.
func (p *Proxy) hold(answer bool) {
	if p.current() == Slow {
		time.Sleep(slowDelay)
	}
	for {
		mode := p.current()
		if mode != Silent && (mode != OneWay || !answer) {
			return
		}
		time.Sleep(pollInterval)
	}
}
