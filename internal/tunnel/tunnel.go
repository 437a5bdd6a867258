// Package tunnel carries connections to workers through other nodes. A node that has lost its own
// link to a worker asks a node that reaches the worker to open a connection there, and speaks HTTP
// to the worker over it. The request stays with the first node: it alone decides on tries, limits
// and answers, so a tunnel needs no agreement between the two nodes. It crosses one node only.
//
// A tunnel is an HTTP/1.1 connection between nodes that is upgraded. The caller's direction is the
// bytes themselves. The worker's direction is framed, since the end of a worker's connection proves
// something only if the worker ended it in order: each frame is its length in two bytes, big
// endian, and its bytes; a frame of length zero says that the worker has closed its connection in
// order. A tunnel that ends without it was broken, by the worker or on the way.
//
// A worker that closes its connection before it has received all that was sent to it has not ended it
// in order. Where headerCounts is set, the count of the bytes that the other node has passed on to the
// worker follows the frame of length zero, in eight bytes, big endian: what was still on its way to that
// node is missing there.
//
// Limits of the connections to a worker are divided among the nodes. A tunnel for a lost link counts
// as a connection of the node that asks. A node whose own share is in use borrows a connection: that
// tunnel counts as one of the node that lends it, which does so only while its share has room. So no
// share is exceeded, whatever fails, and none is lost while its node has no callers.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// Names in the protocol.
const (
	protocol   = "tinarch-tunnel"
	pathPrefix = "/tunnels/"
	pathTunnel = pathPrefix + "{worker}"
	// lentPrefix is the path of tunnels that count as connections of the node that opens them.
	// Earlier builds don't know it and answer 404.
	lentPrefix = "/lent/"
	pathLent   = lentPrefix + "{worker}"
	// headerNode names the incarnation of the node that asks, and headerRequest the request for
	// which it asks.
	headerNode    = "Tunnel-Node"
	headerRequest = "Tunnel-Request"
	// headerCounts tells that the end of the worker's connection comes with a count. Earlier builds don't
	// send it, and pass over the count.
	headerCounts = "Tunnel-Counts"
	// headerCause tells why no tunnel was opened.
	headerCause = "Tunnel-Cause"
)

const (
	// frameBytes is the largest frame.
	frameBytes = 8 << 10
	// lengthBytes is the size of a frame's length, and countBytes that of the count behind the last one.
	lengthBytes = 2
	countBytes  = 8
)

// Conn is a connection to a worker through another node.
type Conn struct {
	net.Conn
	node   netip.AddrPort
	reader *bufio.Reader
	// left counts the bytes of the current frame that have not been read.
	left int
	// ended is set once the worker has closed its connection in order.
	ended bool
	// counts tells that a count follows the last frame, and sent counts the bytes that were to be written.
	counts bool
	sent   atomic.Uint64
	// closed is called when the connection is closed.
	closed func()
}

var (
	errBroken = eris.New("the connection through another node broke")
	errCut    = eris.New("the worker closed its connection through another node before it had received all that was sent")
)

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	c.sent.Add(uint64(len(content))) // before the worker can answer
	return c.Conn.Write(content)
}

// Read implements net.Conn. io.EOF means that the worker has closed its connection in order.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, err
		}
	}
	count, err := c.reader.Read(buffer[:min(len(buffer), c.left)])
	c.left -= count
	return count, notInOrder(err)
}

func (c *Conn) readLength() error {
	var length [lengthBytes]byte
	// A deadline may pass between the two bytes, so they are taken together.
	peeked, err := c.reader.Peek(lengthBytes)
	if err != nil {
		return notInOrder(err)
	}
	copy(length[:], peeked)
	_, _ = c.reader.Discard(lengthBytes)
	c.left = int(binary.BigEndian.Uint16(length[:]))
	if c.left == 0 {
		return c.readEnd()
	}
	return nil
}

// readEnd reads what follows the last frame. It returns io.EOF if the worker has closed its connection in order.
func (c *Conn) readEnd() error {
	if c.counts {
		var count [countBytes]byte
		if _, err := io.ReadFull(c.reader, count[:]); err != nil {
			return errBroken
		}
		if binary.BigEndian.Uint64(count[:]) != c.sent.Load() {
			return errCut
		}
	}
	c.ended = true
	return io.EOF
}

// notInOrder makes the end of the connection to the other node an error.
func notInOrder(err error) error {
	if err == io.EOF {
		return errBroken
	}
	return err
}

// Node returns the address of the node that the connection goes through.
func (c *Conn) Node() netip.AddrPort { return c.node }

// SyscallConn implements syscall.Conn with the connection to the other node.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("%T is no socket", c.Conn)
	}
	return inner.SyscallConn()
}

// Buffered returns the number of bytes that were received and not read.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed()
	return c.Conn.Close()
}
