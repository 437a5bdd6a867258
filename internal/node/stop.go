package node

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/replica"
)

const (
	// handOverTimeout bounds the wait for other nodes to take this node's groups over.
	handOverTimeout  = 6 * time.Second
	handOverInterval = 200 * time.Millisecond
)

// Stop ends the node as planned: it gives up its leases, leaves its groups,
// answers what is in progress, and then closes. Requests that are still in
// progress when ctx ends are cut.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("planned stop begins")
	n.stopping.Store(true)
	n.announce(ctx)
	n.leaveGroups(ctx)
	n.routes.ingress.Stop()
	err := n.gateway.Stop(ctx)
	n.close()
	if err != nil {
		n.log.WithError(err).Warn("planned stop ended before all requests were answered")
		return err
	}
	n.log.Info("planned stop done")
	return nil
}

// leaveGroups hands leases over, and waits until the groups have replaced this
// node or the time is up. While there is no node to replace it, or the table
// service is down, the groups go on with their other members.
func (n *Node) leaveGroups(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for !n.hasLeft() {
		n.HandOver()
		select {
		case <-waitCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// HandOver gives the leases of this node to other members.
func (n *Node) HandOver() { n.host.HandOver() }

// hasLeft reports whether the groups can do without this node: it holds no lease,
// and is no member where another node could be one in its place.
func (n *Node) hasLeft() bool {
	others := len(n.Candidates())
	if others == 0 {
		return true // there is nobody to hand over to
	}
	if len(n.LedGroups()) > 0 {
		return false
	}
	if others >= group.Size {
		return len(n.host.Replicas()) == 0
	}
	return n.groupsKeepMajority()
}

// groupsKeepMajority reports whether each group of this node has a live majority
// without it.
func (n *Node) groupsKeepMajority() bool {
	alive := map[replica.MemberID]bool{}
	for _, candidate := range n.Candidates() {
		alive[candidate.ID] = true
	}
	for _, record := range n.host.Records() {
		if n.host.Replica(record.Group) != nil && !record.HasMajority(alive) {
			return false
		}
	}
	return true
}

// Close ends the node at once, as a crash would, but frees its ports.
func (n *Node) Close() {
	n.gateway.Close()
	n.close()
}

func (n *Node) close() {
	_ = n.operatorServer.Close()
	n.host.Close()
	n.mu.Lock()
	cells := n.cells
	n.mu.Unlock()
	for _, service := range cells {
		service.Close()
	}
	n.cancel()
	n.routes.pool.Close()
	n.client.Close()
	n.peers.Close()
	n.running.Wait()
	n.engines.Close()
}
