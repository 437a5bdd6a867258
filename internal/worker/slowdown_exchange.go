package worker

import (
	"maps"
	"time"
)

// HostStatement is what a worker stated about its host: the factor by which work takes longer
// there than usual, and when.
type HostStatement struct {
	Factor float64
	At     time.Time
}

const (
	// tellHostEvery is how often statements of a worker that repeat the one before are told to
	// other nodes: about half of the time for which the load of neighbours lasts.
	tellHostEvery = 250 * time.Millisecond
	// askHostAfter is how long an engine may have stated nothing before its host is asked. A
	// load of neighbours that lasts twice as long doesn't go unnoticed.
	askHostAfter = 500 * time.Millisecond
	// askHostsWhileUsed is how long after the last plan for a service its hosts are still asked.
	askHostsWhileUsed = 2 * time.Second
)

// tellHost queues a statement for the other nodes if it is news to them: it differs from the
// one that was told last, or that was told a while ago.
func (r *Registry) tellHost(known *workerState, statement HostStatement) {
	told := known.hostTold
	if told.Factor == statement.Factor && statement.At.Sub(told.At) < tellHostEvery {
		return
	}
	known.hostTold = statement
	r.hostUpdates[known.worker.ID] = statement
	r.touch(known.worker.ID)
}

// takeHostUpdates returns the statements that are new since the last call.
func (r *Registry) takeHostUpdates() map[string]HostStatement {
	if len(r.hostUpdates) == 0 {
		return nil
	}
	taken := maps.Clone(r.hostUpdates)
	clear(r.hostUpdates)
	return taken
}

// MergeHostStatements records what workers have stated to other nodes. Their services are
// uneven from then on.
func (r *Registry) MergeHostStatements(statements map[string]HostStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, statement := range statements {
		known, exists := r.workers[id]
		if !exists || !known.host.Observe(statement.Factor, statement.At) {
			continue
		}
		r.statements.Told++
		known.hostTold = statement // the homes have it from whoever told it
		r.markUneven(known.worker.Service)
	}
}

// HostStatements returns the last statements of those of the given workers that have made one.
func (r *Registry) HostStatements(workers []string) map[string]HostStatement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var statements map[string]HostStatement
	for _, id := range workers {
		known, exists := r.workers[id]
		if !exists || !known.host.Known() {
			continue
		}
		if statements == nil {
			statements = make(map[string]HostStatement, len(workers))
		}
		statements[id] = HostStatement{Factor: known.host.Last(), At: known.host.LastAt()}
	}
	return statements
}

// SilentHosts returns the engines of uneven services in use that have stated nothing for
// askHostAfter. Engines that only prefill state nothing in their answers to requests.
func (r *Registry) SilentHosts(now time.Time) []Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []Worker
	for _, known := range r.workers {
		uneven := r.uneven[known.worker.Service]
		if uneven == nil || now.Sub(uneven.plannedAt) > askHostsWhileUsed || known.worker.Stage == Opaque {
			continue
		}
		if r.isStaying(known, now) && now.Sub(known.host.LastAt()) >= askHostAfter {
			silent = append(silent, known.worker)
		}
	}
	return silent
}

// HostStatementCounts counts the statements about hosts that were recorded: those made to this
// node, and those that other nodes told.
type HostStatementCounts struct{ Own, Told uint64 }

// HostStatementCounts returns the statements recorded since this node started.
func (r *Registry) HostStatementCounts() HostStatementCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statements
}
