package tunnel

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// uploadEnd is what becomes of an upload through a tunnel, and whether that is an end in order.
type uploadEnd struct {
	name string
	// serve answers and ends the connection to the worker, which has received nothing yet.
	serve   func(c *net.TCPConn, size int)
	inOrder bool
}

var uploadEnds = []uploadEnd{
	{"received whole, closed", func(c *net.TCPConn, size int) {
		_, _ = io.CopyN(io.Discard, c, int64(size))
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}, true},
	{"reset", func(c *net.TCPConn, _ int) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = io.WriteString(c, "answer")
		_ = c.SetLinger(0)
		_ = c.Close()
	}, false},
	{"reset a moment later", func(c *net.TCPConn, _ int) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = io.WriteString(c, "answer")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}, false},
	{"ended in one direction", func(c *net.TCPConn, _ int) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = io.WriteString(c, "answer")
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
	}, false},
}

// TestEndDuringAnUploadIsNotInOrder guards against a worker's reset that meets the write of the request at the other
// node, whose read then sees an end in order.
func TestEndDuringAnUploadIsNotInOrder(t *testing.T) {
	const each = 30
	for _, size := range []int{300_000, 1_000_000, 6_000_000} {
		for _, end := range uploadEnds {
			t.Run(fmt.Sprintf("%d bytes, %s", size, end.name), func(t *testing.T) {
				t.Parallel()
				through := startNode(t, startWorker(t, func(c *net.TCPConn) { end.serve(c, size) }), true)
				client, wrong := clientOf(through), 0
				for range each {
					opened := open(t, client)
					go func() { _, _ = opened.Write(make([]byte, size)) }()
					got, err := io.ReadAll(opened)
					if (err == nil) != end.inOrder {
						wrong++
					}
					if end.inOrder && string(got) != "answer" {
						t.Errorf("%d bytes of the answer came", len(got))
					}
					_ = opened.Close()
				}
				if wrong > 0 {
					t.Errorf("%d of %d ends told wrongly, in order is %v", wrong, each, end.inOrder)
				}
			})
		}
	}
}

// TestEndThroughAnEarlierBuildIsTold: it sends no count behind the last frame, and passes over one.
func TestEndThroughAnEarlierBuildIsTold(t *testing.T) {
	earlier := startWorker(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n\x00\x06answer\x00\x00")
		}
	})
	opened := open(t, clientOf(&node{address: netip.MustParseAddrPort(earlier)}))
	if got, err := io.ReadAll(opened); err != nil || string(got) != "answer" {
		t.Errorf("through an earlier build: %q, %v", got, err)
	}

	through := startNode(t, startWorker(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}), true)
	opened = open(t, clientOf(through))
	opened.counts = false
	if got, err := io.ReadAll(opened); err != nil || string(got) != "answer" {
		t.Errorf("for an earlier build: %q, %v", got, err)
	}
}

// TestLastFrameWithoutItsCountIsNoEnd guards against a node that ends between the two.
func TestLastFrameWithoutItsCountIsNoEnd(t *testing.T) {
	for _, end := range []string{"\x00\x00", "\x00\x00\x00\x00\x00"} {
		ending := startWorker(t, func(c *net.TCPConn) {
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, upgraded+"\x00\x06answer"+end)
			}
		})
		if _, err := io.ReadAll(open(t, clientOf(&node{address: netip.MustParseAddrPort(ending)}))); err == nil {
			t.Errorf("%q is taken for an end in order", end)
		}
	}
}
