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
	listWait       = 3 * time.Second
	listPoll       = 10 * time.Millisecond
	cacheListPause = 15 * time.Millisecond
	// cacheListTimeout bounds one question to a worker.
	cacheListTimeout = 500 * time.Millisecond
	maxCacheList     = 4 << 20
	// homesEvery is the time between two looks for workers whose account this node has
	// come to keep: what they keep is no more than a hint.
	homesEvery = 2 * time.Second
	// noConnectionLimit is how many connections a question may use.
	noConnectionLimit = 0
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
		n.registry.MarkCachesKnown(n.unknownCaches())
	}
	for _, id := range n.exchange.AskMemory(ctx, n.unknownCaches()) {
		if ctx.Err() != nil {
			return
		}
		if !slices.Contains(n.unknownCaches(), id) {
			continue // another node has asked it meanwhile, and told
		}
		if listed, found := n.registry.Get(id); found {
			n.fetchCacheList(ctx, listed)
		}
		time.Sleep(cacheListPause)
	}
	n.learnAsNewHome(ctx)
}

// learnAsNewHome asks the other homes of workers whose account this node has come to keep.
func (n *Node) learnAsNewHome(ctx context.Context) {
	ticker := time.NewTicker(homesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if unknownCaches := n.unknownCaches(); len(unknownCaches) > 0 {
			n.registry.MarkCachesKnown(n.exchange.AskMemory(ctx, unknownCaches))
		}
	}
}

// unknownCaches returns the engines whose accounts this node keeps, and of whose caches it
// knows nothing, in an order of its own.
func (n *Node) unknownCaches() []string {
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

// fetchCacheList asks a worker what it keeps.
func (n *Node) fetchCacheList(ctx context.Context, target worker.Worker) {
	callCtx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, target.ID, target.Address, noConnectionLimit, n.platform.ListRequest(target.Address))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker did not tell what it keeps")
		return
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxCacheList))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker did not tell what it keeps")
		return
	}
	parts, err := n.platform.ListedParts(answer.Status, content)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker's list can't be read")
		return
	}
	n.registry.ObserveCacheList(target.ID, parts, time.Now())
	n.log.WithFields(logrus.Fields{"worker": target.ID, "parts": len(parts)}).Info("a worker told what it keeps")
}
