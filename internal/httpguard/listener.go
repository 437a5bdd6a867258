package httpguard

import (
	"net"
	"runtime"

	"golang.org/x/sys/unix"
)

type listener struct {
	net.Listener
	guard    *Guard
	accepted int
}

// acceptedAtOnce is how many connections are accepted before others may run.
const acceptedAtOnce = 16

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.accepted++; l.accepted%acceptedAtOnce == 0 {
			runtime.Gosched() // what has been accepted is served before more is accepted
		}
		if c := l.guard.admit(accepted); c != nil {
			return c, nil
		}
		reset(transport(accepted))
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// transport returns the connection below TLS, whose Close may wait for the client.
func transport(c net.Conn) net.Conn {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return c
}

// socketBuffer bounds each of the system's two buffers of a connection, which otherwise grow to megabytes
// for a client that doesn't read, or that sends faster than the node reads.
const socketBuffer = 128 << 10

// boundBuffers bounds the buffers of all connections that a listener accepts: they inherit its options.
func boundBuffers(inner net.Listener) {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed listener
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	})
}
