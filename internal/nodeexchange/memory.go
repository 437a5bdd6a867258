package nodeexchange

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
)

// Times and bounds of the questions that a node asks when it has just started.
const (
	// memoryRoundTimeout is how long the node waits for answers in one round before it asks
	// other peers.
	memoryRoundTimeout = 80 * time.Millisecond
	// memoryRounds is the largest number of rounds.
	memoryRounds = 4
	// partsPerMessage bounds the prompt parts in one datagram of an answer.
	partsPerMessage = 200
)

// AskMemory asks the other homes of workers for what they have learned of them: the contents of
// their caches and their throughputs. It returns the workers for which no complete answer
// arrived, which may be all of them if all nodes have just started.
func (e *Exchange) AskMemory(ctx context.Context, workers []string) []string {
	missing := make(map[string]bool, len(workers))
	for _, id := range workers {
		missing[id] = true
	}
	for round := range memoryRounds {
		for to, asked := range e.memorySources(missing, round) {
			e.sendTo(to, Message{Node: e.node, WantMemory: asked})
		}
		e.awaitMemory(ctx, missing)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
	}
	left := make([]string, 0, len(missing))
	for id := range missing {
		left = append(left, id)
	}
	return left
}

// memorySources assigns each worker to one of its homes other than this node, a different one
// in each round.
func (e *Exchange) memorySources(workers map[string]bool, round int) map[netip.AddrPort][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked := make(map[netip.AddrPort][]string)
	for id := range workers {
		homes := e.peers.homes(id)
		for i := range homes {
			if to := homes[(round+i)%len(homes)]; to != e.peers.address {
				asked[to] = append(asked[to], id)
				break
			}
		}
	}
	return asked
}

// awaitMemory removes the workers with complete answers from missing, until none is left or the
// round ends.
func (e *Exchange) awaitMemory(ctx context.Context, missing map[string]bool) {
	timer := time.NewTimer(memoryRoundTimeout)
	defer timer.Stop()
	for len(missing) > 0 {
		select {
		case told := <-e.memoryComplete:
			for _, id := range told {
				delete(missing, id)
			}
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		}
	}
}

// sendMemory answers a node that has just started. It sends what the workers have cached, and
// then for which workers the answer is complete.
func (e *Exchange) sendMemory(to netip.AddrPort, workers []string) {
	memory, known := e.registry.LearnedState(workers)
	for _, updates := range splitUpdates(memory.CacheUpdates) {
		e.sendTo(to, Message{Node: e.node, Memory: true, CacheUpdates: renderCacheUpdates(updates)})
	}
	e.sendTo(to, Message{Node: e.node, Memory: true, Paces: memory.PrefillModels, MemoryComplete: known})
}

// splitUpdates splits cache updates so that each message holds at most partsPerMessage parts.
func splitUpdates(updates []worker.CacheUpdate) [][]worker.CacheUpdate {
	var messages [][]worker.CacheUpdate
	for _, update := range updates {
		for parts := update.Parts; len(parts) > 0; {
			count := min(len(parts), partsPerMessage)
			messages = append(messages, []worker.CacheUpdate{{Worker: update.Worker, Parts: parts[:count]}})
			parts = parts[count:]
		}
	}
	return messages
}

func (e *Exchange) receiveMemory(from netip.AddrPort, message Message) {
	snapshot, err := message.snapshot()
	if err != nil {
		e.logMalformed(from, err)
		return
	}
	e.registry.MergeLearnedState(worker.LearnedState{CacheUpdates: snapshot.CacheUpdates, PrefillModels: message.Paces}, time.Now())
	if len(message.MemoryComplete) == 0 {
		return
	}
	e.registry.MarkCachesKnown(message.MemoryComplete)
	e.log.WithFields(logrus.Fields{"node": message.Node, "workers": len(message.MemoryComplete)}).Info("another node told what workers keep")
	select {
	case e.memoryComplete <- message.MemoryComplete:
	default:
	}
}
