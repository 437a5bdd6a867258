// Package linkcut cuts the links between a listener and some of its callers, as a network
// partition does: packets from them are dropped in the kernel, so that connections hang and
// are given up by the callers' own timeouts. Callers are told apart by their IP address.
package linkcut

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Mode is how a link is cut.
type Mode string

// The ways in which a link is cut.
const (
	// Hang drops all packets from the caller.
	Hang Mode = "hang"
	// Reset resets the open connections, and new ones hang.
	Reset Mode = "reset"
	// Refuse resets new connections as soon as they are accepted, and leaves open ones alone.
	Refuse Mode = "refuse new"
	// HangNew lets new connections hang, and leaves open ones alone.
	HangNew Mode = "hang new"
)

// Modes are all modes.
var Modes = []Mode{Hang, Reset, Refuse, HangNew}

// Listener is a TCP listener whose links can be cut. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener

	mu sync.Mutex
	// open are the accepted connections; some may have been closed.
	open []*net.TCPConn
	cut  map[netip.Addr]Mode
}

// Listen listens on an IP:PORT.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its packets can't be filtered
	inner, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: inner.(*net.TCPListener), cut: make(map[netip.Addr]Mode)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.add(c) {
			return c, nil
		}
		reset(c)
	}
}

// add keeps an accepted connection, unless its link refuses new ones.
func (l *Listener) add(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[remoteIP(c)] == Refuse {
		return false
	}
	l.open = append(l.dropClosed(), c)
	return true
}

// dropClosed returns the connections that are open.
func (l *Listener) dropClosed() []*net.TCPConn {
	const keep = 64
	if len(l.open) < keep {
		return l.open
	}
	var open []*net.TCPConn
	for _, c := range l.open {
		if raw, err := c.SyscallConn(); err == nil && raw.Control(func(uintptr) {}) == nil {
			open = append(open, c)
		}
	}
	return open
}

// Cut cuts the links to callers.
func (l *Listener) Cut(mode Mode, callers ...netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, caller := range callers {
		l.cut[caller] = mode
	}
	l.apply()
}

// Restore makes the links to callers work again.
func (l *Listener) Restore(callers ...netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, caller := range callers {
		delete(l.cut, caller)
	}
	l.apply()
}

// apply puts the cuts in force for new and for open connections.
func (l *Listener) apply() {
	var unheard []netip.Addr
	for caller, mode := range l.cut {
		if mode != Refuse {
			unheard = append(unheard, caller)
		}
	}
	filter(l.TCPListener, unheard)
	for _, c := range l.open {
		caller := remoteIP(c)
		switch l.cut[caller] {
		case Hang:
			filter(c, []netip.Addr{caller})
		case Reset:
			reset(c)
		default:
			filter(c, nil)
		}
	}
}

func remoteIP(c net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// sourceOffset is where a classic BPF program finds the source address of the IPv4 header.
const sourceOffset = 0xfff00000 + 12 // SKF_NET_OFF

// filter makes a socket drop all packets from some callers. Closed sockets are passed over.
func filter(socket syscall.Conn, callers []netip.Addr) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { filterDescriptor(int(fd), callers) })
}

// filterDescriptor makes the socket of a descriptor drop all packets from some callers.
func filterDescriptor(fd int, callers []netip.Addr) {
	if len(callers) == 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		return
	}
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, caller := range callers {
		address := caller.As4()
		program = append(program, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(callers) - i), K: binary.BigEndian.Uint32(address[:]),
		})
	}
	const all = 0xffffffff
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: all}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
