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
	// maxHostDoublings bounds the pause between two questions to an engine that doesn't answer
	// them, to 16 s.
	maxHostDoublings = 5
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
	if len(r.uneven) == 0 {
		return nil
	}
	var silent []Worker
	for _, known := range r.workers {
		uneven := r.uneven[known.worker.Service]
		if uneven == nil || now.Sub(uneven.plannedAt) > askHostsWhileUsed || known.worker.Stage == Opaque {
			continue
		}
		if r.isAskedForHost(known, now) {
			silent = append(silent, known.worker)
		}
	}
	return silent
}

// isAskedForHost reports whether an engine is to be asked about its host. One that doesn't answer
// is asked less and less often, and one with a request limit not at all, since each question
// counts against the limit.
func (r *Registry) isAskedForHost(known *workerState, now time.Time) bool {
	if !r.isStaying(known, now) || known.isAvoided(now) || known.limit.Named || r.noticeStates[known.worker.ID].BackingOff(now) {
		return false
	}
	pause := askHostAfter << min(known.hostSilences, maxHostDoublings)
	return now.Sub(known.host.LastAt()) >= askHostAfter && now.Sub(known.hostAskedAt) >= pause
}

// RecordHostAsked records that an engine is asked about its host.
func (r *Registry) RecordHostAsked(id string, now time.Time) {
	r.update(id, func(known *workerState) {
		if known.host.LastAt().Before(known.hostAskedAt) {
			known.hostSilences++
		} else {
			known.hostSilences = 0
		}
		known.hostAskedAt = now
	})
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
