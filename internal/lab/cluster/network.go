package cluster

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Network connects the nodes of a deployment. While a direction is cut, data sent in it is
// delayed, as when a network loses packets and TCP retransmits them: the data arrives late, or
// never if the connection times out first.
type Network struct {
	mu    sync.Mutex
	names map[string]string // by peer address
	cuts  map[direction]bool
}

type direction struct{ from, to string }

func newNetwork() *Network {
	return &Network{names: map[string]string{}, cuts: map[direction]bool{}}
}

func (n *Network) place(name, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// Cut delays all data from one node to another until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[direction]bool{}
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}]
}

func (n *Network) nameOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[address]
}

// dialer returns the function with which a node connects to other nodes.
func (n *Network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := n.nameOf(address)
		if n.isCut(from, to) || n.isCut(to, from) {
			<-ctx.Done() // connecting needs both directions
			return nil, ctx.Err()
		}
		inner, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cuttable{Conn: inner, network: n, from: from, to: to}, nil
	}
}

// cuttable is a connection of which each direction can be cut.
type cuttable struct {
	net.Conn
	network  *Network
	from, to string
	closed   atomic.Bool
}

const (
	cutPoll = 10 * time.Millisecond
	// cutPatience is how long data is delayed before the connection times out.
	cutPatience = 5 * time.Second
)

// wait waits until the direction isn't cut.
func (c *cuttable) wait(from, to string) error {
	for waited := time.Duration(0); c.network.isCut(from, to); waited += cutPoll {
		if c.closed.Load() {
			return net.ErrClosed
		}
		if waited >= cutPatience {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(cutPoll)
	}
	return nil
}

// Write implements net.Conn.
func (c *cuttable) Write(content []byte) (int, error) {
	if err := c.wait(c.from, c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(content)
}

// Read implements net.Conn.
func (c *cuttable) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err != nil {
		return count, err
	}
	if err := c.wait(c.to, c.from); err != nil {
		return 0, err
	}
	return count, nil
}

// Close implements net.Conn.
func (c *cuttable) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
