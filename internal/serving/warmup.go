package serving

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
)

// The figures of a start.
const (
	// listWait bounds the wait for the first list of workers and nodes.
	listWait  = 3 * time.Second
	listPoll  = 10 * time.Millisecond
	listPause = 15 * time.Millisecond
	// listTimeout bounds one question to a worker.
	listTimeout = 500 * time.Millisecond
	maxList     = 4 << 20
	// listConnections is how many connections a question may use.
	listConnections = 0
)

// warmUp learns what the workers keep of prompts, which a process that has just
// started can't know: from another node, or else from the workers themselves.
func (n *Node) warmUp(ctx context.Context) {
	if !n.awaitLists(ctx) || n.exchange.AskMemory(ctx) {
		return
	}
	defer n.exchange.SetWarm()
	unlisted := n.registry.Unlisted()
	rand.Shuffle(len(unlisted), func(i, j int) { unlisted[i], unlisted[j] = unlisted[j], unlisted[i] })
	for _, listed := range unlisted {
		if ctx.Err() != nil {
			return
		}
		if !n.stillUnlisted(listed.ID) {
			continue // another node has asked it meanwhile, and told
		}
		n.list(ctx, listed)
		time.Sleep(listPause)
	}
}

func (n *Node) stillUnlisted(id string) bool {
	for _, unlisted := range n.registry.Unlisted() {
		if unlisted.ID == id {
			return true
		}
	}
	return false
}

// awaitLists waits until workers and routes are known.
func (n *Node) awaitLists(ctx context.Context) bool {
	for end := time.Now().Add(listWait); !n.Ready(); time.Sleep(listPoll) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// list asks a worker what it keeps.
func (n *Node) list(ctx context.Context, asked worker.Worker) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	answer, err := n.pool.Do(callCtx, asked.ID, asked.Address, listConnections, n.platform.ListRequest(asked.Address))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": asked.ID, "cause": err.Error()}).Warn("a worker did not tell what it keeps")
		return
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxList))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": asked.ID, "cause": err.Error()}).Warn("a worker did not tell what it keeps")
		return
	}
	parts, err := n.platform.ListedParts(answer.Status, content)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": asked.ID, "cause": err.Error()}).Warn("a worker's list can't be read")
		return
	}
	n.registry.Listed(asked.ID, parts, time.Now())
	n.log.WithFields(logrus.Fields{"worker": asked.ID, "parts": len(parts)}).Info("a worker told what it keeps")
}
