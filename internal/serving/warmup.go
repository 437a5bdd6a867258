package serving

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Times and limits of the warm-up.
const (
	// readyWait bounds the wait until workers and routes are known. If it runs out, there is no
	// warm-up, and caches are not learned from other homes later either.
	readyWait      = 3 * time.Second
	readyPoll      = 10 * time.Millisecond
	cacheListPause = 15 * time.Millisecond
	// cacheListTimeout bounds one request for a cache list.
	cacheListTimeout = 500 * time.Millisecond
	maxCacheList     = 4 << 20
	// homesEvery is how often to look for workers whose home this node has become. It may be
	// slow, since knowledge of caches is only a hint.
	homesEvery = 2 * time.Second
	// noConnectionLimit lets calls open any number of connections to a worker.
	noConnectionLimit = 0
)

// warmUp learns the KV cache contents of the workers whose home this node is: neither a process
// that has just started can know them, nor one that becomes a home because another node joins
// or leaves. It asks the other homes and, only after a start, the workers that no home knows
// about.
func (n *Node) warmUp(ctx context.Context) {
	if !n.awaitReady(ctx) {
		return
	}
	if n.settings.Node.FirstStart {
		// On the first start of the system the caches are empty. Asking each worker would take
		// a connection for each of its homes, 20,000 in a fleet of 10,000 workers.
		n.registry.MarkCachesKnown(n.unknownCaches())
	}
	for _, id := range n.exchange.AskMemory(ctx, n.unknownCaches()) {
		if ctx.Err() != nil {
			return
		}
		if !slices.Contains(n.unknownCaches(), id) {
			continue // another node has asked it meanwhile and told this one
		}
		if listed, found := n.registry.Get(id); found {
			n.fetchCacheList(ctx, listed)
		}
		time.Sleep(cacheListPause)
	}
	n.learnAsNewHome(ctx)
}

// learnAsNewHome asks the other homes about workers whose home this node has become.
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

// unknownCaches returns, in random order, the engines whose home this node is and whose cache
// contents it doesn't know.
func (n *Node) unknownCaches() []string {
	var homed []string
	if keeping, some := n.exchange.TrackedEngines(); some {
		homed = idsOf(n.registry.UnknownCachesAmong(keeping))
	} else {
		ids := idsOf(n.registry.UnknownCaches())
		for i, kept := range n.exchange.Tracked(ids) {
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

// awaitReady waits until this node is ready, which requires that workers and routes are known.
// It reports whether that was so before readyWait ran out.
func (n *Node) awaitReady(ctx context.Context) bool {
	for end := time.Now().Add(readyWait); !n.Ready(); time.Sleep(readyPoll) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// fetchCacheList asks a worker for the list of its cache contents. Once that is read, it logs
// that the worker "told what it keeps".
func (n *Node) fetchCacheList(ctx context.Context, target worker.Worker) {
	callCtx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, target.ID, target.Address, noConnectionLimit, n.platform.ListRequest(target.Address))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker did not return its cache list")
		return
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := workerconn.ReadDocument(answer.Body, maxCacheList)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker did not return its cache list")
		return
	}
	parts, err := n.platform.ListedParts(answer.Status, content)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": target.ID, "cause": err.Error()}).Warn("a worker's cache list can't be parsed")
		return
	}
	n.registry.ObserveCacheList(target.ID, parts, time.Now())
	n.log.WithFields(logrus.Fields{"worker": target.ID, "parts": len(parts)}).Info("a worker told what it keeps")
}
