package faults

import (
	"context"
	"time"
)

// leavingGrace is the time for which an engine may still accept work after it was marked
// leaving: the lag of the machine list, 500 ms until nodes have read it, and two seconds.
const leavingGrace = listLag + 500*time.Millisecond + 2*time.Second

func (r *run) markLeaving(engine int, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lab.SetLeaving(r.lab.Engines[engine].Name(), leaving)
	if leaving {
		r.leavingSince[engine] = time.Now()
	} else {
		delete(r.leavingSince, engine)
	}
}

// checkLeaving checks that a leaving engine got no work after leavingGrace. It checks nothing
// if the machine list was unavailable, since nodes don't know the mark then.
func (r *run) checkLeaving(engine int) {
	r.mu.Lock()
	since := r.leavingSince[engine]
	r.mu.Unlock()
	last := r.lab.Engines[engine].LastAccepted()
	if r.listWasDown(since, last) {
		return
	}
	if late := last.Sub(since); late > leavingGrace {
		r.addProblem("engine %d accepted work %v after it was marked leaving", engine+1, late)
	}
}

// listWasDown reports whether the schedule has the machine list down at any time, provided that
// to is after from.
func (r *run) listWasDown(from, to time.Time) bool {
	for _, event := range r.schedule {
		if event.Action == ListDown && to.After(from) {
			return true
		}
	}
	return false
}

// checkEngines checks the violations that the engines counted.
func (r *run) checkEngines() {
	total := r.lab.Counters()
	if total.UnfencedOrders > 0 {
		r.addProblem("%d orders took effect with a lower fencing token than that of an earlier claim", total.UnfencedOrders)
	}
	if total.UnclaimedOrders > 0 {
		r.addProblem("%d orders took effect in an incarnation that their leader had not claimed", total.UnclaimedOrders)
	}
	if total.CutByOrder > 0 {
		r.addProblem("%d attempts were aborted by orders", total.CutByOrder)
	}
}

// checkRecovery checks that, within settleTime after the last fault, all nodes serve the same
// revision and all engines are ready.
func (r *run) checkRecovery(ctx context.Context) {
	settleCtx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	err := r.lab.Await(settleCtx, "recovery", func() bool {
		var first uint64
		for node, n := range r.nodes {
			revision, _, err := r.revision(settleCtx, node)
			if err != nil || !n.Ready(settleCtx) || (node > 0 && revision != first) {
				return false
			}
			first = revision
		}
		return r.servingEngines(settleCtx) == engineCount
	})
	if err != nil {
		r.addProblem("%v after the last fault, nodes disagree on the revision, a node is not ready or not all engines are ready", settleTime)
	}
}
