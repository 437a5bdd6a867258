package node

import (
	"context"
	"time"

	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/replica"
)

const (
	// handOverTimeout bounds the wait until other nodes have taken over this node's groups.
	handOverTimeout  = 6 * time.Second
	handOverInterval = 200 * time.Millisecond
	// answerMargin is the part of the time for a stop in which callers of routes still get the answers of
	// requests that were given up.
	answerMargin = 200 * time.Millisecond
)

// Stop performs a planned stop: the node transfers its leases, leaves its groups, completes the
// requests in progress, and then closes. Late requests that may not end by then are refused. Requests
// that are still in progress when ctx ends are cut off.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("planned stop begins")
	n.stopping.Store(true)
	n.announce(ctx)
	n.leaveGroups(ctx)
	n.routes.ingress.Stop()
	if end, limited := ctx.Deadline(); limited {
		n.routes.dispatch.EndBy(end.Add(-answerMargin))
	}
	err := n.gateway.Stop(ctx)
	n.close()
	if err != nil {
		n.log.WithError(err).Warn("planned stop ended before all requests were answered")
		return err
	}
	n.log.Info("planned stop done")
	return nil
}

// leaveGroups transfers leadership, and waits until the groups can do without this node or the
// time is up. While no other node can replace this one, or the table service is down, the
// groups go on with their other members.
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

// HandOver transfers the leases of this node to other members of its groups.
func (n *Node) HandOver() { n.host.HandOver() }

// hasLeft reports whether this node, which is being stopped, can close without harm to its
// groups. If there is no other live node, it can, even if it holds leases. Otherwise it must
// hold no lease; besides, with at least group.Size other nodes it must be in no group, and with
// fewer each of its groups must have a majority of live members without it.
func (n *Node) hasLeft() bool {
	others := len(n.Candidates())
	if others == 0 {
		return true // no other node can take over
	}
	if len(n.LedGroups()) > 0 {
		return false
	}
	if others >= group.Size {
		return len(n.host.Replicas()) == 0
	}
	return n.groupsKeepMajority()
}

// groupsKeepMajority reports whether each group of this node has a majority of live members
// without this node.
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

// Close ends the node at once, as a crash of its process would: it transfers no lease,
// announces nothing, and cuts off the requests in progress. As the process goes on, Close
// itself closes the node's ports and connections.
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
