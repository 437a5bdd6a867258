package serving

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
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
	// homesEvery is the time between two looks for workers whose account this node has
	// come to keep: what they keep is no more than a hint.
	homesEvery = 2 * time.Second
	// listConnections is how many connections a question may use.
	listConnections = 0
)

// warmUp learns what the workers keep whose accounts this node keeps: a process that has
// just started can't know it, nor can one that becomes a home when another node joins or
// leaves. It asks the other homes, and at a start the workers themselves, if no home
// knows.
func (n *Node) warmUp(ctx context.Context) {
	if !n.awaitLists(ctx) {
		return
	}
	if n.settings.Node.FirstStart {
		// Nothing was asked of the workers before: to ask each of them took a connection for
		// each of its homes, 20,000 in a fleet of 10,000 workers.
		n.registry.MarkCachesKnown(n.unlisted())
	}
	for _, id := range n.exchange.AskMemory(ctx, n.unlisted()) {
		if ctx.Err() != nil {
			return
		}
		if !slices.Contains(n.unlisted(), id) {
			continue // another node has asked it meanwhile, and told
		}
		if listed, found := n.registry.Get(id); found {
			n.list(ctx, listed)
		}
		time.Sleep(listPause)
	}
	n.learnNewHomes(ctx)
}

// learnNewHomes asks the other homes of workers whose account this node has come to keep.
func (n *Node) learnNewHomes(ctx context.Context) {
	ticker := time.NewTicker(homesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if unlisted := n.unlisted(); len(unlisted) > 0 {
			n.registry.MarkCachesKnown(n.exchange.AskMemory(ctx, unlisted))
		}
	}
}

// unlisted returns the engines whose accounts this node keeps, and of whose caches it
// knows nothing, in an order of its own.
func (n *Node) unlisted() []string {
	var homed []string
	if keeping, some := n.exchange.Keeping(); some {
		homed = idsOf(n.registry.UnknownCachesAmong(keeping))
	} else {
		ids := idsOf(n.registry.UnknownCaches())
		for i, kept := range n.exchange.Kept(ids) {
			if kept {
				homed = append(homed, ids[i])
			}
		}
	}
	rand.Shuffle(len(homed), func(i, j int) { homed[i], homed[j] = homed[j], homed[i] })
	return homed
}

func idsOf(workers []worker.Worker) []string {
	ids := make([]string, 0, len(workers))
	for _, known := range workers {
		ids = append(ids, known.ID)
	}
	return ids
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
	answer, err := n.calls().Do(callCtx, asked.ID, asked.Address, listConnections, n.platform.ListRequest(asked.Address))
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
	n.registry.ObserveCacheList(asked.ID, parts, time.Now())
	n.log.WithFields(logrus.Fields{"worker": asked.ID, "parts": len(parts)}).Info("a worker told what it keeps")
}
