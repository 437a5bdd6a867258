package worker

import (
	"time"

	"github.com/rotisserie/eris"
)

// Notice is what the header of an answer announces about whether the worker accepts further
// requests.
type Notice struct {
	// Draining is set if the worker announces that it is draining, that is about to end.
	Draining bool
	// Backoff is for how long the worker wants no requests from the node that it answered, zero
	// if it doesn't ask for that.
	Backoff time.Duration
	// Malformed quotes a notice that can't be parsed, empty if there is none.
	Malformed string
}

// NoticeState is what holds for one incarnation of a worker by its notices.
type NoticeState struct {
	// DrainingSince is when this node first heard that the worker is draining, zero if it
	// hasn't.
	DrainingSince time.Time
	// BackoffSince and BackoffUntil are the start and end of the pause for which the worker
	// wants no requests from this node, zero if it never asked for one.
	BackoffSince, BackoffUntil time.Time
}

// Draining reports whether the worker is draining by its own notices.
func (s NoticeState) Draining(now time.Time) bool {
	return !s.DrainingSince.IsZero() && now.Sub(s.DrainingSince) < drainingTTL
}

// BackingOff reports whether the worker wants no requests from this node.
func (s NoticeState) BackingOff(now time.Time) bool { return now.Before(s.BackoffUntil) }

// BackoffRemaining returns for how much longer the worker wants no requests from this node.
func (s NoticeState) BackoffRemaining(now time.Time) time.Duration {
	return max(s.BackoffUntil.Sub(now), 0)
}

// drainingTTL is how long an announcement of draining counts. A worker that is listed for
// longer hasn't ended after all, or announces it again.
const drainingTTL = 10 * time.Minute

// with returns the state after a further notice. Answers can overtake each other, so one
// without a notice may be older than one with it. So no notice is ever revoked by a later
// answer, and of several pauses the one that ends last holds.
func (s NoticeState) with(notice Notice, now time.Time) NoticeState {
	if notice.Draining && !s.Draining(now) {
		s.DrainingSince = now
	}
	if until := now.Add(notice.Backoff); notice.Backoff > 0 && until.After(s.BackoffUntil) {
		if !s.BackingOff(now) {
			s.BackoffSince = now
		}
		s.BackoffUntil = until
	}
	return s
}

// Expired reports whether the state has no effect any more.
func (s NoticeState) Expired(now time.Time) bool { return !s.Draining(now) && !s.BackingOff(now) }

// NoticeChange is a change of a worker's NoticeState.
type NoticeChange struct {
	Worker Worker
	// Before and After are the states before and after the change.
	Before, After NoticeState
	// Listed is set if the worker is listed, and EntryDraining if its entry says that it is
	// draining.
	Listed, EntryDraining bool
}

// ObserveNotice records the notice in an answer to a request of this node, and reports whether
// it changed anything.
func (r *Registry) ObserveNotice(id string, notice Notice, now time.Time) (NoticeChange, bool) {
	notice.Backoff = addJitter(notice.Backoff)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.noticeStates[id]
	after := before.with(notice, now)
	if after == before {
		return NoticeChange{}, false
	}
	r.dropExpiredNotices(now)
	r.noticeStates[id] = after
	if after.DrainingSince != before.DrainingSince {
		r.drainingUpdates[id] = now.Add(drainingBroadcastTime)
		r.touch(id)
	}
	change := NoticeChange{Worker: Worker{ID: id}, Before: before, After: after}
	if known, exists := r.workers[id]; exists {
		if after.BackoffUntil != before.BackoffUntil {
			known.recovery = recovery{window: 1}
		}
		change.Worker, change.Listed, change.EntryDraining = known.worker, known.listed(), known.worker.Draining
	}
	return change, true
}

// drainingBroadcastTime is how long a worker's announcement of draining is included in
// snapshots: long enough for two of the periodic messages that a small fleet sends each half a
// second.
const drainingBroadcastTime = 1200 * time.Millisecond

// addDraining adds the workers that announced their draining to this node lately to a snapshot.
func (r *Registry) addDraining(snapshot *Snapshot, now time.Time) {
	for id, until := range r.drainingUpdates {
		if now.After(until) {
			delete(r.drainingUpdates, id)
			continue
		}
		snapshot.Draining = append(snapshot.Draining, id)
	}
}

// MergeDraining records which workers announced their draining to another node, and returns
// those that this node didn't know to be draining. They need not be listed here: this node may
// not have read the worker list yet.
func (r *Registry) MergeDraining(ids []string, now time.Time) (unknown []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		before := r.noticeStates[id]
		after := before.with(Notice{Draining: true}, now)
		if after != before {
			r.noticeStates[id] = after
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// AnnouncedDraining returns the ids of the workers that have announced that they are draining.
func (r *Registry) AnnouncedDraining() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var draining []string
	for id, state := range r.noticeStates {
		if state.Draining(now) {
			draining = append(draining, id)
		}
	}
	return draining
}

// dropExpiredNotices deletes states without effect. Notice states outlive the entries of their
// workers, which may disappear and come back while the store is unavailable.
func (r *Registry) dropExpiredNotices(now time.Time) {
	for id, state := range r.noticeStates {
		if state.Expired(now) {
			delete(r.noticeStates, id)
		}
	}
}

// These are the reasons why a worker gets no requests from this node. They reach callers in the
// detail of an outcome: a worker that has announced its end is draining, and one that has asked
// to be left alone is in the backoff that it asked for (Retry-After).
var (
	ErrDraining = eris.New("the worker has announced its end")
	ErrBackoff  = eris.New("the worker has asked to be left alone for a time")
	ErrUnlisted = eris.New("the worker's entry is gone")
	// ErrRecovering is the reason why a worker gets no more requests for now after a pause that
	// it asked for.
	ErrRecovering = eris.New("the worker's pause has just ended, and it has as many requests as it gets before it answers")
)

// Admit returns the reason why a worker must not get any request from this node now, nil if it
// may. Only the worker's own notices count.
func (r *Registry) Admit(id string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admit(id, now)
}

// AdmitCall is Admit for a caller's request, which a worker must not get either if its entry is
// gone or says that it is draining. One that continues a stream may get there for continueFor.
func (r *Registry) AdmitCall(id string, continues bool, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		switch {
		case known.worker.Draining && !(continues && known.continuesStreams(now)):
			return ErrDraining
		case known.isDoubted(now), !known.listed() && now.Sub(known.goneAt) >= lastResortFor:
			return ErrUnlisted
		}
	}
	return r.admit(id, now)
}

func (r *Registry) admit(id string, now time.Time) error {
	state := r.noticeStates[id]
	if state.Draining(now) && now.Sub(state.DrainingSince) >= lastResortFor {
		return ErrDraining
	}
	if state.BackingOff(now) {
		return ErrBackoff
	}
	return nil
}

// IsBackingOff reports whether a worker wants no requests from this node now.
func (r *Registry) IsBackingOff(id string) bool { return r.NoticeState(id).BackingOff(time.Now()) }

// UsableIn returns the time until the first of the workers that can answer requests of a
// service accepts another one from this node, zero if one does now. It returns false if there is
// no such worker, or none has ever announced anything. Only workers that the function accepts count;
// nil accepts all.
func (r *Registry) UsableIn(service string, accepts func(w Worker) bool, now time.Time) (first time.Duration, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.noticeStates) == 0 {
		return 0, false // saves looking at each worker of a large fleet
	}
	for id, known := range r.workers {
		if accepts != nil && !accepts(known.worker) {
			continue
		}
		if known.worker.Service != service || known.worker.Stage == Prefill || !r.isStaying(known, now) || known.isChanging(now) {
			continue
		}
		wait := r.noticeStates[id].BackoffRemaining(now)
		if wait == 0 && !known.recovery.admits(known.load.Requests) {
			wait = recoveryRetryAfter
		}
		if !found || wait < first {
			first, found = wait, true
		}
	}
	return first, found
}

// NoticeState returns what holds for a worker by its notices.
func (r *Registry) NoticeState(id string) NoticeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noticeStates[id]
}

// CountNoticeStates returns how many workers have announced that they are draining, and how
// many are backing off: they want no requests from this node now.
func (r *Registry) CountNoticeStates(now time.Time) (draining, backingOff int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.noticeStates {
		if state.Draining(now) {
			draining++
		}
		if state.BackingOff(now) {
			backingOff++
		}
	}
	return draining, backingOff
}
