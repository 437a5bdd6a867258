// Package authority lets one node at a time act for all: give engines orders, report
// usage, order workers. It drives a lease that lies in a row of the platform's store.
package authority

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/lease"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// The row of the lease.
const (
	table = "authority"
	key   = "stages"
	// maxReads is how often the row is read where the store's era rises meanwhile.
	maxReads = 2
	// storeTimeout bounds a call to the store: a lease lives several times as long.
	storeTimeout = 800 * time.Millisecond
	// headroom is the part of the lease's life that must be left when an unfenced act
	// begins. A call that nobody acknowledges is ended by the kernel after
	// duty.UserTimeout (1 s), also while this process is frozen; the next holder acts a
	// fifth of the life after this lease's end at the earliest (two margins, 0.6 s of
	// 3 s). With 0.25 (0.75 s) left, the call is gone 0.35 s before that.
	headroom = 0.25
)

// rowValue is what lies in the row.
type rowValue struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Released bool   `json:"released,omitempty"`
}

// keyForEra is the key of the lease's row in an era of the store's history.
func keyForEra(era uint64) string {
	if era == 0 {
		return key
	}
	return fmt.Sprintf("%s/%d", key, era)
}

// Options are what an authority works with.
type Options struct {
	// Self is this node's incarnation.
	Self string
	// Life is how long the lease lasts unrenewed.
	Life  time.Duration
	Store rowstore.Store
	Log   *logrus.Logger
	// StepBack leaves the duties to another node for a time: the store can't be
	// reached. It may be nil.
	StepBack func(span time.Duration)
	// Unfenced tells that what receives the acts doesn't compare fences: every act must
	// have ended before another node may act. docs/design/unfenced-duties.md.
	Unfenced bool
	// Clock is that by which the lease runs, clock.Boot where it is nil: a holder whose
	// machine was suspended must not believe in its lease afterwards.
	Clock clock.Clock
}

// stepBackMargin is for how long a node that can't reach the store leaves its duties to
// others, besides a life of the lease and a tenth: one of them must first hear of it,
// which takes up to two seconds, and then see the lease unchanged for that time before
// it takes it (inc-6b64).
const stepBackMargin = 3 * time.Second

// Authority is this node's part in the lease. It is safe for concurrent use: several
// duties share it.
type Authority struct {
	options Options

	mu      sync.Mutex
	machine *lease.StateMachine
	// startedAt is when this process began.
	startedAt time.Time
	// releasing tells that the lease is being given back: no act begins any more.
	releasing bool
	// inFlight are those under way.
	inFlight int
	// version is that of the row while this node holds the lease.
	version uint64
}

// New returns the authority of a node.
func New(options Options) *Authority {
	settings := lease.DefaultSettings(options.Life)
	settings.KeepFence = options.Unfenced
	if options.Clock == nil {
		options.Clock = clock.Boottime
	}
	return &Authority{options: options, machine: lease.New(options.Self, settings), startedAt: options.Clock()}
}

// Term is a span in which this node may act.
type Term struct {
	Fence uint64
	// Until is when acts must have ended, the zero time where those that end later are
	// refused for their fence.
	Until time.Time
}

// Operation is one act under the authority, from its beginning to End.
type Operation struct {
	Fence uint64
	// Context is bounded by the act's timeout, and by the end of the term.
	Context context.Context
	end     func()
}

// End tells that the act is over: it was answered, or given up.
func (a Operation) End() { a.end() }

// Begin begins an act, false where none may begin now. Call it just before the act leaves,
// and End after it.
func (a *Authority) Begin(ctx context.Context, timeout time.Duration) (Operation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	term, held := a.term()
	if !held {
		return Operation{}, false
	}
	end := a.options.Clock().Add(timeout)
	if !term.Until.IsZero() && term.Until.Before(end) {
		end = term.Until
	}
	bounded, cancel := clock.WithDeadline(ctx, a.options.Clock, end)
	a.inFlight++
	return Operation{Fence: term.Fence, Context: bounded, end: sync.OnceFunc(func() {
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.inFlight--
	})}, true
}

// Status is whether this node may act.
type Status string

// The states of a hold.
const (
	Held               Status = "held"
	MaybeHeldElsewhere Status = "another node may hold it"
	StoreUnavailable   Status = "the store did not answer"
)

// Acquire takes the lease where nobody else may hold it, and reports whether this node
// holds it now. The store is asked only when something is to be done: a lease that nobody
// needs costs nothing. Where the store doesn't answer the node stands aside.
func (a *Authority) Acquire(ctx context.Context) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.acquire(ctx)
	if status == StoreUnavailable && a.options.StepBack != nil {
		a.options.StepBack(a.options.Life*11/10 + stepBackMargin)
	}
	return status
}

func (a *Authority) acquire(ctx context.Context) Status {
	now := a.options.Clock()
	if a.releasing {
		return MaybeHeldElsewhere
	}
	if a.machine.Holds(now) {
		restored := a.options.Store.Era() > a.machine.Era()
		if a.hasTimeLeft(now) && !restored {
			return Held
		}
		if restored {
			a.observe(ctx)
		}
		a.renew(ctx)
		if a.hasTimeLeft(a.options.Clock()) {
			return Held
		}
		return MaybeHeldElsewhere
	}
	if !a.observe(ctx) {
		return StoreUnavailable
	}
	if a.machine.Released() && a.options.Clock().Sub(a.startedAt) < a.options.Life {
		// An earlier process of this machine may have acted before the holder that gave the
		// lease back: the two would have acted in turns within the life of a lease.
		a.options.Log.Info("the authority was given back, and this process is too young to take it; waiting")
		return MaybeHeldElsewhere
	}
	proposal := a.machine.Next(a.options.Clock())
	if proposal.Action == lease.Wait {
		a.options.Log.WithField("holder", a.machine.Holder()).Info("another node may hold the authority; waiting")
		return MaybeHeldElsewhere
	}
	return a.writeLease(ctx, proposal)
}

// hasTimeLeft reports whether an act may begin: fenced ones as long as the lease is held, others
// only while enough of it is left for the act to end.
func (a *Authority) hasTimeLeft(now time.Time) bool {
	if !a.machine.Holds(now) {
		return false
	}
	least := time.Duration(headroom * float64(a.options.Life))
	return !a.options.Unfenced || a.machine.Until().Sub(now) >= least
}

// renew lengthens the lease before it runs out.
func (a *Authority) renew(ctx context.Context) {
	if proposal := a.machine.Next(a.options.Clock()); proposal.Action == lease.Renew {
		a.writeLease(ctx, proposal)
	}
}

// Term returns the span in which this node may act, false where no act may begin now.
func (a *Authority) Term() (Term, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.term()
}

func (a *Authority) term() (Term, bool) {
	now := a.options.Clock()
	if a.releasing || !a.hasTimeLeft(now) {
		return Term{}, false
	}
	term := Term{Fence: a.machine.Fence(now)}
	if a.options.Unfenced {
		term.Until = a.machine.Until()
	}
	return term, true
}

// Fence returns the fence of this node's lease, zero where it holds none. Acts use Begin
// instead.
func (a *Authority) Fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Fence(a.options.Clock())
}

// Condition returns the condition under which writes to the store are this node's to
// make: that nobody has taken the lease since. It is false where this node holds none.
func (a *Authority) Condition() (rowstore.Condition, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.machine.Holds(a.options.Clock())
	return rowstore.Condition{Table: table, Key: keyForEra(tablefeed.Version(a.version).Era()), Version: a.version}, held
}

// Renounce ends this node's lease, since an act was refused for its fence: another node
// has taken the lease.
func (a *Authority) Renounce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.Renounce()
}

// The figures of giving the lease back.
const (
	// releaseTimeout bounds the wait for acts under way: above the longest (2 s).
	releaseTimeout = 2500 * time.Millisecond
	releasePoll    = 20 * time.Millisecond
	// releasePause is left between the last act and the release: a call that was given up
	// may still be on its way, twelve milliseconds between regions and as much again in
	// queues.
	releasePause = 200 * time.Millisecond
)

// Release gives the lease back before this process ends, so that the next holder needn't
// wait for it to run out. No act begins any more; those under way are waited for. Where one
// doesn't end, the lease runs out as usual.
func (a *Authority) Release(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for !a.beginRelease() {
		select {
		case <-waitCtx.Done():
			a.options.Log.Warn("the authority was not given back: an act is still under way")
			return
		case <-time.After(releasePoll):
		}
	}
	time.Sleep(releasePause)
	a.mu.Lock()
	defer a.mu.Unlock()
	proposal, own := a.machine.Release()
	if !own {
		return
	}
	content, err := json.Marshal(rowValue{Holder: a.options.Self, Released: true})
	if err != nil {
		a.options.Log.WithError(err).Error("the authority was not given back")
		return
	}
	_, done, err := a.write(ctx, proposal, content)
	a.options.Log.WithFields(logrus.Fields{"written": done, "cause": causeOf(err)}).Info("authority given back")
}

// beginRelease has no act begin any more, and reports whether none is under way.
func (a *Authority) beginRelease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releasing = true
	return a.inFlight == 0
}

// ConditionFailed takes in that a write under a condition of this node's was not carried out.
// Another node has taken the lease then, unless it was renewed meanwhile, or the condition was
// of an earlier era of the store.
func (a *Authority) ConditionFailed(condition rowstore.Condition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if condition.Version == a.version && a.options.Store.Era() == a.machine.Era() {
		a.machine.Renounce()
	}
}

func (a *Authority) observe(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era, content, version, err := a.readRow(callCtx)
	if err != nil {
		a.options.Log.WithField("cause", err.Error()).Warn("the authority's row could not be read")
		return false
	}
	var value rowValue
	if version > 0 {
		if err := json.Unmarshal(content, &value); err != nil {
			a.options.Log.WithField("cause", err.Error()).Error("the authority's row is malformed; it counts as held until its time is over")
		}
	}
	a.machine.Observe(lease.Row{Era: era, Version: version, Holder: value.Holder, Fence: value.Fence, Released: value.Released}, a.options.Clock())
	return true
}

// readRow reads the row of the store's newest era.
func (a *Authority) readRow(ctx context.Context) (era uint64, content []byte, version uint64, err error) {
	for range maxReads {
		era = a.options.Store.Era()
		content, version, err = a.options.Store.ReadRow(ctx, table, keyForEra(era))
		if err != nil || a.options.Store.Era() == era {
			return era, content, version, err
		}
	}
	return 0, nil, 0, rowstore.ErrRestored
}

// writeLease writes the row, to writeLease the lease or to renew it.
func (a *Authority) writeLease(ctx context.Context, proposal lease.Proposal) Status {
	content, err := json.Marshal(rowValue{Holder: a.options.Self, Fence: proposal.Fence})
	if err != nil {
		a.machine.WriteFailed()
		return MaybeHeldElsewhere
	}
	version, done, err := a.write(ctx, proposal, content)
	if err != nil || !done {
		a.machine.WriteFailed()
		a.options.Log.WithFields(logrus.Fields{"if_version": proposal.IfVersion, "written": done, "cause": causeOf(err)}).Warn("the authority was not taken")
		if err != nil && !errors.Is(err, rowstore.ErrRestored) {
			return StoreUnavailable
		}
		return MaybeHeldElsewhere
	}
	a.machine.WriteSucceeded(version, a.options.Clock())
	a.version = version
	now := a.options.Clock()
	a.options.Log.WithFields(logrus.Fields{
		"fence": a.machine.Fence(now), "renewed": proposal.Action == lease.Renew, "left": a.machine.Until().Sub(now).String(),
	}).Info("authority taken")
	if !a.machine.Holds(a.options.Clock()) {
		return MaybeHeldElsewhere
	}
	return Held
}

// write writes the row under the condition of a proposal.
func (a *Authority) write(ctx context.Context, proposal lease.Proposal, content []byte) (version uint64, done bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rowKey := keyForEra(proposal.Era)
	version, done, err = a.options.Store.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: table, Key: rowKey, Version: proposal.IfVersion}},
		Writes:     []rowstore.Write{{Table: table, Key: rowKey, Value: content}},
	})
	if done && a.options.Store.Era() != proposal.Era {
		return 0, false, rowstore.ErrRestored
	}
	return version, done, err
}

func causeOf(err error) string {
	if err == nil {
		return "the row has another version"
	}
	return err.Error()
}
