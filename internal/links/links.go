// Package links tracks the links of a node: which workers it reaches by connections of its own. A
// link is lost if the node gets no connection to a worker and another node does; what fails then
// is the link, not the worker. The package does no I/O and doesn't read the clock.
package links

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the time between two checks of a lost link.
	checkInterval = time.Second
	// passesToRestore is the number of checks in a row that must pass. Hysteresis keeps a link
	// that comes and goes from being used each time that it works for a moment.
	passesToRestore = 2
	// doubtInterval is the shortest time between two moments from which connections are doubted,
	// so that links which are lost one after the other don't make the node open all connections
	// again each time.
	doubtInterval = time.Second
	// failureLife is how long the failure of several attempts in a row to reach a worker counts for
	// further ones, and failuresToKnow how many that takes.
	failureLife    = 500 * time.Millisecond
	failuresToKnow = 2
	// isolatedMin is the number of lost links from which a node may count as isolated, or as one that
	// reaches no worker.
	isolatedMin = 2
)

// Table holds the links to all workers that this node has used. It is safe for concurrent use.
type Table struct {
	log *logrus.Logger
	// onLost is called with each worker whose link is lost.
	onLost func(worker string)

	mu    sync.Mutex
	links map[string]*link
	// lost counts the lost links.
	lost int
	// doubtedSince is when the last link that was lost may have failed. Others may have failed
	// with it, so connections that have carried nothing since are doubted.
	doubtedSince time.Time
	// restoredAt is when a link was last found to be back.
	restoredAt time.Time
}

// link is what is known of the link to one worker.
type link struct {
	// heard is when the worker last accepted a connection or sent something, and accepted when it
	// last did the former: open connections may live on while new ones fail.
	heard, accepted time.Time
	// unreachedSince is when the first failed attempt began to reach the worker since it was
	// heard, zero if there is none.
	unreachedSince time.Time
	// failures counts the failed attempts since then, and failed and cause are the last one's.
	failures int
	failed   time.Time
	cause    error
	// lostSince is when the link was lost, zero if it isn't.
	lostSince time.Time
	// checked is when the last check of the lost link began, and passes counts the checks in a
	// row that have passed.
	checked time.Time
	passes  int
}

// New returns links of which nothing is known. onLost is called with each worker whose link is
// lost; it may be nil.
func New(log *logrus.Logger, onLost func(worker string)) *Table {
	if onLost == nil {
		onLost = func(string) {}
	}
	return &Table{log: log, onLost: onLost, links: make(map[string]*link)}
}

// Accepted records that a worker accepted a connection.
func (t *Table) Accepted(worker string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.link(worker)
	known.accepted = now
	t.recordHeard(worker, known, now)
}

// Heard records that a worker sent something.
func (t *Table) Heard(worker string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordHeard(worker, t.link(worker), now)
}

func (t *Table) recordHeard(worker string, known *link, now time.Time) {
	known.heard = now
	if known.unreachedSince.IsZero() || !known.lostSince.IsZero() {
		return
	}
	t.log.WithFields(logrus.Fields{"worker": worker, "unreached_ms": now.Sub(known.unreachedSince).Milliseconds()}).
		Info("a worker is reached again")
	known.unreachedSince, known.failures = time.Time{}, 0
}

// KnownFailure returns the cause of the last failed attempt to reach a worker if several have failed
// in a row and that was just now. Another attempt would fail in the same way, but take longer.
func (t *Table) KnownFailure(worker string, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	if !exists || known.failures < failuresToKnow || now.Sub(known.failed) > failureLife {
		return nil
	}
	return known.cause
}

// Failed records that an attempt to reach a worker, begun at a time, got no connection or no
// answer. It says nothing of whether the worker or the link is the cause.
func (t *Table) Failed(worker string, begun, now time.Time, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.link(worker)
	if known.heard.After(begun) {
		return
	}
	known.failures++
	known.failed, known.cause = now, cause
	if !known.unreachedSince.IsZero() {
		return
	}
	known.unreachedSince = begun
	t.log.WithFields(logrus.Fields{"worker": worker, "cause": cause.Error(), "heard": known.heard}).Warn("a worker isn't reached")
}

// Lose records that another node has reached a worker, and that an attempt of this node, begun at
// a time, has not.
func (t *Table) Lose(worker, through string, begun, now time.Time) {
	t.mu.Lock()
	known := t.link(worker)
	if !known.lostSince.IsZero() || known.accepted.After(begun) {
		t.mu.Unlock()
		return
	}
	known.lostSince, known.checked, known.passes, known.failures = now, now, 0, 0
	if known.unreachedSince.IsZero() {
		known.unreachedSince = begun
	}
	t.lost++
	if begun.Sub(t.doubtedSince) > doubtInterval {
		t.doubtedSince = begun
	}
	t.log.WithFields(logrus.Fields{"worker": worker, "through": through, "lost": t.lost, "heard": known.heard}).
		Warn("the link to a worker is lost: another node reaches it")
	t.mu.Unlock()
	t.onLost(worker)
}

// IsLost reports whether the link to a worker is lost.
func (t *Table) IsLost(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	return exists && !known.lostSince.IsZero()
}

// Doubts reports whether a connection to a worker that last carried something at a time may be
// dead: a link has been lost since, and nothing was heard of the worker.
func (t *Table) Doubts(worker string, carried time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	since := t.doubtedSince
	if exists && known.unreachedSince.After(since) {
		since = known.unreachedSince
	}
	return !carried.After(since) && (!exists || !known.heard.After(since))
}

// HasPassed reports whether the last check of a lost link has passed.
func (t *Table) HasPassed(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	return exists && known.passes > 0
}

// BeginCheck reports whether a lost link is to be checked now, by an attempt to reach the worker
// whose result is passed to Checked.
func (t *Table) BeginCheck(worker string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	if !exists || known.lostSince.IsZero() || now.Sub(known.checked) < checkInterval {
		return false
	}
	known.checked = now
	return true
}

// Checked records the result of a check.
func (t *Table) Checked(worker string, reached bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	if !exists || known.lostSince.IsZero() {
		return
	}
	if !reached {
		known.passes = 0
		return
	}
	if known.passes++; known.passes < passesToRestore {
		return
	}
	t.lost--
	t.log.WithFields(logrus.Fields{"worker": worker, "lost_ms": now.Sub(known.lostSince).Milliseconds(), "lost": t.lost}).
		Info("the link to a worker is back")
	known.heard, known.accepted, known.lostSince, known.unreachedSince, known.failures = now, now, time.Time{}, time.Time{}, 0
	t.restoredAt = now
}

// Due returns some of the lost links that are to be checked, those that were checked the longest
// ago first.
func (t *Table) Due(now time.Time, most int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return nil
	}
	var due []string
	for worker, known := range t.links {
		if !known.lostSince.IsZero() && now.Sub(known.checked) >= checkInterval {
			due = append(due, worker)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return t.links[a].checked.Compare(t.links[b].checked) })
	return due[:min(len(due), most)]
}

// Isolated reports whether this node has lost most of the links that it has used of late. Once one
// is back, those that were not checked since don't count.
func (t *Table) Isolated() bool {
	lost, reached := t.counts()
	return lost >= isolatedMin && lost > reached
}

// ReachesNone reports whether this node has lost all links that it has used of late.
func (t *Table) ReachesNone() bool {
	lost, reached := t.counts()
	return lost >= isolatedMin && reached == 0
}

// counts returns the numbers of links that are lost, and of those that have worked since one was lost.
func (t *Table) counts() (lost, reached int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return 0, 0
	}
	for _, known := range t.links {
		switch {
		case !known.lostSince.IsZero() && known.checked.After(t.restoredAt):
			lost++
		case known.lostSince.IsZero() && known.heard.After(t.doubtedSince):
			reached++
		}
	}
	return lost, reached
}

func (t *Table) link(worker string) *link {
	known, exists := t.links[worker]
	if !exists {
		known = &link{}
		t.links[worker] = known
	}
	return known
}

// Unreached returns the workers that this node doesn't reach, in order.
func (t *Table) Unreached() []string {
	return t.workers(func(known *link) bool { return !known.unreachedSince.IsZero() })
}

// Lost returns the workers whose links are lost, in order.
func (t *Table) Lost() []string {
	return t.workers(func(known *link) bool { return !known.lostSince.IsZero() })
}

func (t *Table) workers(has func(known *link) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []string
	for worker, known := range t.links {
		if has(known) {
			found = append(found, worker)
		}
	}
	slices.Sort(found)
	return found
}

// Prune drops what is known of the links to workers that aren't known any more.
func (t *Table) Prune(isKnown func(worker string) bool) {
	for _, worker := range t.workers(func(*link) bool { return true }) {
		if !isKnown(worker) {
			t.Forget(worker)
		}
	}
}

// Forget drops what is known of the link to a worker that is gone.
func (t *Table) Forget(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.links[worker]
	if exists && !known.lostSince.IsZero() {
		t.lost--
	}
	delete(t.links, worker)
}
