package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

const (
	writeTimeout   = 5 * time.Second
	helloTimeout   = 2 * time.Second
	maxQueuedLines = 1024
	bufferBytes    = 4 << 10
)

// Counters count a node's traffic with its peers.
type Counters struct {
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	LinesSent     atomic.Int64
	LinesReceived atomic.Int64
	Malformed     atomic.Int64
}

// conn is a connection to a peer.
type conn struct {
	network  net.Conn
	reader   *lineReader
	outgoing chan []byte
	closed   chan struct{}
	once     sync.Once
	counters *Counters
	// remote is the identity in the peer's greeting.
	remote Identity
}

func newConn(network net.Conn, counters *Counters) *conn {
	c := &conn{
		network:  network,
		outgoing: make(chan []byte, maxQueuedLines),
		closed:   make(chan struct{}),
		counters: counters,
	}
	c.reader = newLineReader(countingReader{network, counters})
	return c
}

type countingReader struct {
	network  net.Conn
	counters *Counters
}

func (r countingReader) Read(buffer []byte) (int, error) {
	count, err := r.network.Read(buffer)
	r.counters.BytesReceived.Add(int64(count))
	return count, err
}

// greet exchanges greetings and checks the peer's. Both sides send theirs without waiting for
// the other's.
func (c *conn) greet(own Identity) error {
	line, err := encodeFrame(frame{Type: frameHello, Version: ProtocolVersion, Hello: &own})
	if err != nil {
		return err
	}
	_ = c.network.SetDeadline(time.Now().Add(helloTimeout))
	if _, err := c.network.Write(line); err != nil {
		return err
	}
	greeting, err := c.reader.next()
	if err != nil {
		return err
	}
	_ = c.network.SetDeadline(time.Time{})
	if greeting.Type != frameHello || greeting.Version != ProtocolVersion {
		// A first frame that is not a greeting usually has no version, so that the message says
		// version 0.
		return result.New(result.PeerProtocol, "the peer speaks version %d, this node %d", greeting.Version, ProtocolVersion)
	}
	if greeting.Hello.Cluster != own.Cluster {
		return result.New(result.PeerProtocol, "the peer belongs to cluster %q, this node to %q; check cluster_id", greeting.Hello.Cluster, own.Cluster)
	}
	c.remote = *greeting.Hello
	return nil
}

// send queues a frame. It fails if the connection is closed, or if the queue is full because
// the peer reads too slowly.
func (c *conn) send(f frame) error {
	line, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if len(line) > MaxLineBytes {
		return result.New(result.PeerProtocol, "a message of %d bytes exceeds the limit of %d", len(line), MaxLineBytes)
	}
	select {
	case <-c.closed:
		return result.New(result.PeerUnavailable, "the connection to %s is closed", c.remote.Node)
	default:
	}
	select {
	case c.outgoing <- line:
		return nil
	case <-c.closed:
		return result.New(result.PeerUnavailable, "the connection to %s is closed", c.remote.Node)
	default:
		return result.New(result.PeerUnavailable, "%d messages to %s wait already", maxQueuedLines, c.remote.Node)
	}
}

// writeLoop writes queued lines, and flushes when the queue is empty.
func (c *conn) writeLoop() {
	defer c.close()
	buffered := bufio.NewWriterSize(c.network, bufferBytes)
	for {
		select {
		case <-c.closed:
			return
		case line := <-c.outgoing:
			_ = c.network.SetWriteDeadline(time.Now().Add(writeTimeout))
			if c.writeAll(buffered, line) != nil {
				return
			}
		}
	}
}

func (c *conn) writeAll(buffered *bufio.Writer, line []byte) error {
	for {
		c.counters.BytesSent.Add(int64(len(line)))
		c.counters.LinesSent.Add(1)
		if _, err := buffered.Write(line); err != nil {
			return err
		}
		select {
		case line = <-c.outgoing:
			continue
		default:
			return buffered.Flush()
		}
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.network.Close()
	})
}

// closeOnDone closes the connection when ctx ends.
func (c *conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.close)
}
