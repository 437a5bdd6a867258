package usage

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/clock"
)

// gathering is a question to the other supervisors for what they know. It is asked in each term
// of the authority and in each era of the store, since others may have recorded windows before.
type gathering struct {
	fence, era uint64
	// waitingSince is when the wait for answers began, possibly in an earlier term.
	waitingSince time.Time
	// done tells that all have answered, or that gatherTimeout is over.
	done bool
	// mute are the supervisors that didn't answer in time. They aren't waited for again until
	// they have answered.
	mute []string
	// all tells that all supervisors have answered.
	all bool
}

// next returns the gathering of the next term.
func (g gathering) next(fence, era uint64, now time.Time) gathering {
	if g.waitingSince.IsZero() || g.done {
		g.waitingSince = now
	}
	return gathering{fence: fence, era: era, waitingSince: g.waitingSince, mute: g.mute}
}

// gather asks the other supervisors for what they know, and returns an error as long as their
// answers are to be waited for. This node has the authority, so that nobody records windows
// after they have answered.
func (r *Reporter) gather(due Window) error {
	fence, era := r.options.Authority.Fence(), r.options.Store.Era()
	if r.gathering.fence != fence || r.gathering.era != era {
		if r.gathering.waitingSince.IsZero() {
			r.options.Fleet.GatherUsage(due - keptWindows)
		} else {
			r.options.Fleet.GatherRecords() // this node has received all counts since
		}
		r.gathering = r.gathering.next(fence, era, clock.Boottime())
	}
	if r.gathering.done {
		return nil
	}
	unanswered := poll(func() []string { return without(r.options.Fleet.Unanswered(), r.gathering.mute) })
	waited := clock.Boottime().Sub(r.gathering.waitingSince)
	if len(unanswered) > 0 && waited < gatherTimeout {
		return eris.Errorf("the supervisors %v have not told yet what they know", unanswered)
	}
	r.gathering.done, r.gathering.mute = true, r.options.Fleet.Unanswered()
	unreached := r.options.Fleet.Unreached()
	r.gathering.all = len(r.gathering.mute)+len(unreached) == 0
	r.options.Log.WithFields(logrus.Fields{
		"fence": fence, "era": era, "waited_ms": waited.Milliseconds(), "unanswered": r.gathering.mute, "unreached": unreached,
	}).Info("usage gathered from the other supervisors")
	return nil
}

// without returns the nodes that aren't among others.
func without(nodes, others []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(others, node) })
}

// poll waits up to maxPoll until a function returns no nodes, and returns its last result.
func poll(nodes func() []string) []string {
	for end := time.Now().Add(maxPoll); ; time.Sleep(pollInterval) {
		found := nodes()
		if len(found) == 0 || time.Now().After(end) {
			return found
		}
	}
}
