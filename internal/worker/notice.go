package worker

import (
	"time"

	"github.com/rotisserie/eris"
)

// Notice is what the head of an answer says of whether its worker takes further requests.
type Notice struct {
	// Draining tells that the worker is about to end.
	Draining bool
	// Backoff is for how long the worker wants nothing from the node that it answered, zero
	// where it doesn't say.
	Backoff time.Duration
	// Malformed quotes what can't be read, empty where nothing of that kind was said.
	Malformed string
}

// NoticeState is what holds of one start of a worker by its own notices.
type NoticeState struct {
	// DrainingSince is when this node first heard that the worker is about to end, zero where
	// it hasn't.
	DrainingSince time.Time
	// BackoffSince and BackoffUntil bound the time for which the worker wants nothing from
	// this node, zero where it never asked for any.
	BackoffSince, BackoffUntil time.Time
}

// Draining reports whether the worker is about to end.
func (a NoticeState) Draining(now time.Time) bool {
	return !a.DrainingSince.IsZero() && now.Sub(a.DrainingSince) < drainingTTL
}

// BackingOff reports whether the worker wants nothing from this node.
func (a NoticeState) BackingOff(now time.Time) bool { return now.Before(a.BackoffUntil) }

// BackoffRemaining is for how much longer the worker wants nothing from this node.
func (a NoticeState) BackoffRemaining(now time.Time) time.Duration {
	return max(a.BackoffUntil.Sub(now), 0)
}

// drainingTTL is how long a worker counts as about to end. One that is listed for longer has
// changed its mind, and says so again if it hasn't.
const drainingTTL = 10 * time.Minute

// with adds a notice. Answers overtake each other, and one that doesn't mention the end or a
// pause may have been made before another that does: so nothing takes a notice back, and of
// several pauses the one that ends last holds.
func (a NoticeState) with(said Notice, now time.Time) NoticeState {
	if said.Draining && !a.Draining(now) {
		a.DrainingSince = now
	}
	if until := now.Add(said.Backoff); said.Backoff > 0 && until.After(a.BackoffUntil) {
		if !a.BackingOff(now) {
			a.BackoffSince = now
		}
		a.BackoffUntil = until
	}
	return a
}

// Expired reports whether nothing holds any more.
func (a NoticeState) Expired(now time.Time) bool { return !a.Draining(now) && !a.BackingOff(now) }

// NoticeChange is a change of what holds for a worker by its notices.
type NoticeChange struct {
	Worker Worker
	// Before and After are what held and what holds.
	Before, After NoticeState
	// Listed tells that the worker has an entry, and EntryDraining that it says so too.
	Listed, EntryDraining bool
}

// ObserveNotice takes in what a worker said in answer to this node, and reports whether that
// changed anything.
func (r *Registry) ObserveNotice(id string, said Notice, now time.Time) (NoticeChange, bool) {
	said.Backoff = addJitter(said.Backoff)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.noticeStates[id]
	after := before.with(said, now)
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

// drainingBroadcastTime is for how long it is told on that a worker has announced its end, so that it is
// told twice at rest.
const drainingBroadcastTime = 1200 * time.Millisecond

// addDraining adds to a snapshot the workers that told this node of their end lately.
func (r *Registry) addDraining(snapshot *Snapshot, now time.Time) {
	for id, until := range r.drainingUpdates {
		if now.After(until) {
			delete(r.drainingUpdates, id)
			continue
		}
		snapshot.Draining = append(snapshot.Draining, id)
	}
}

// MergeDraining takes in which workers told another node of their end, and returns those that
// this node didn't know of. It may not have read the list of workers yet.
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

// AnnouncedDraining names the workers that have announced their end.
func (r *Registry) AnnouncedDraining() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var draining []string
	for id, advisory := range r.noticeStates {
		if advisory.Draining(now) {
			draining = append(draining, id)
		}
	}
	return draining
}

// dropExpiredNotices forgets what is over. Advisories outlive the entries of their workers, which
// may vanish and come back while the store is away.
func (r *Registry) dropExpiredNotices(now time.Time) {
	for id, advisory := range r.noticeStates {
		if advisory.Expired(now) {
			delete(r.noticeStates, id)
		}
	}
}

// The reasons why a worker gets nothing from this node.
var (
	ErrDraining = eris.New("the worker has announced its end")
	ErrBackoff  = eris.New("the worker has asked to be left alone for a time")
	ErrUnlisted = eris.New("the worker's entry is gone")
)

// Admit returns why a worker must get nothing at all from this node now, and nil where it may.
// Only its own notices count.
func (r *Registry) Admit(id string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admit(id, now)
}

// AdmitCall is Admits for a request of a caller, which a worker must not get either once its
// entry says that it is about to end, or is gone.
func (r *Registry) AdmitCall(id string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		switch {
		case known.worker.Draining:
			return ErrDraining
		case known.isDoubted(now), !known.listed() && now.Sub(known.goneAt) >= lastResortFor:
			return ErrUnlisted
		}
	}
	return r.admit(id, now)
}

func (r *Registry) admit(id string, now time.Time) error {
	advisory := r.noticeStates[id]
	if advisory.Draining(now) && now.Sub(advisory.DrainingSince) >= lastResortFor {
		return ErrDraining
	}
	if advisory.BackingOff(now) {
		return ErrBackoff
	}
	return nil
}

// IsBackingOff reports whether a worker wants nothing from this node now.
func (r *Registry) IsBackingOff(id string) bool { return r.NoticeState(id).BackingOff(time.Now()) }

// UsableIn returns the time until one of the workers that can answer requests of a service takes
// a further one from this node, zero where one does now or none is known to. Those excepted
// don't count.
func (r *Registry) UsableIn(service string, except map[string]bool, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.noticeStates) == 0 {
		return 0 // not worth a look at each worker of a large fleet
	}
	first, found := time.Duration(0), false
	for id, known := range r.workers {
		if known.worker.Service != service || known.worker.Stage == Prefill || except[id] || !r.isStaying(known, now) || known.isChanging(now) {
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
	return first
}

// NoticeState returns what holds of a worker by its notices.
func (r *Registry) NoticeState(id string) NoticeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noticeStates[id]
}

// CountNoticeStates returns how many workers are about to end, and how many want nothing from this
// node now, by their notices.
func (r *Registry) CountNoticeStates(now time.Time) (draining, backingOff int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, advisory := range r.noticeStates {
		if advisory.Draining(now) {
			draining++
		}
		if advisory.BackingOff(now) {
			backingOff++
		}
	}
	return draining, backingOff
}
