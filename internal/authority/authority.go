// Package authority makes sure that one node at a time acts for all: changes the stages of
// engines, reports usage, and requests numbers of workers from the platform. The right to do so
// is the authority. A node has it while it holds a lease, which is a row in the platform's
// store, so the authority expires with the lease.
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

// Constants of the lease's row.
const (
	table = "authority"
	key   = "stages"
	// maxReads is how often to read the row if the store's era increases during the read.
	maxReads = 2
	// storeTimeout bounds a call to the store. The life of a lease is several times as long.
	storeTimeout = 800 * time.Millisecond
	// headroom is the fraction of the lease's life that must be left when an unfenced operation
	// begins. If the peer acknowledges nothing, the kernel aborts a call after
	// duty.TCPUserTimeout (1 s), even while this process is frozen. A holder acts for the life
	// less the margin of package lease, and others wait for the life plus the margin, which is
	// a tenth of the life. So the next holder acts no earlier than a fifth of the life after
	// this lease expires: 0.6 s with the default life of 3 s. With 0.25 (0.75 s) left at the
	// beginning, the call is gone 0.35 s before that.
	headroom = 0.25
)

// rowValue is the content of the row.
type rowValue struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Released bool   `json:"released,omitempty"`
}

// keyForEra returns the key of the lease's row in an era of the store's history.
func keyForEra(era uint64) string {
	if era == 0 {
		return key
	}
	return fmt.Sprintf("%s/%d", key, era)
}

// Options configure an authority.
type Options struct {
	// Self is this node's incarnation.
	Self string
	// Life is the Life of the lease's Settings. Without renewal this node may act for nine
	// tenths of it.
	Life  time.Duration
	Store rowstore.Store
	Log   *logrus.Logger
	// StepBack is called if the store can't be reached, and leaves the duties to other nodes
	// for the given time. It may be nil.
	StepBack func(span time.Duration)
	// Unfenced tells that the receivers of operations don't compare fences. Every operation
	// must then have ended before another node may act (docs/design/unfenced-duties.md).
	Unfenced bool
	// Clock is the clock of the lease, clock.Boottime by default. It must go on while the
	// machine is suspended, so that a holder doesn't rely on its lease after that.
	Clock clock.Clock
}

// stepBackMargin is added to 1.1 times the life of the lease to get the time for which a node
// that can't reach the store leaves its duties to others: one of them must first hear of it,
// which takes up to two seconds, and then see the lease unchanged for the life and the margin
// before it takes it (docs/incidents/inc-6b64.md).
const stepBackMargin = 3 * time.Second

// Authority is this node's access to the lease. It is safe for concurrent use, since several
// duties share it.
type Authority struct {
	options Options

	mu      sync.Mutex
	machine *lease.StateMachine
	// startedAt is when this process started.
	startedAt time.Time
	// releasing tells that the lease is being released: no operation may begin any more.
	releasing bool
	// inFlight counts the operations that have begun and not ended.
	inFlight int
	// version is the version of the row while this node holds the lease.
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

// Term is the period in which this node may act under the lease.
type Term struct {
	Fence uint64
	// Until is when operations must have ended, the zero time if the receivers compare fences
	// and so refuse late ones.
	Until time.Time
}

// Operation is an operation that only the holder of the lease may carry out, such as an order
// to an engine or a report of usage.
type Operation struct {
	Fence uint64
	// Context ends after the timeout of the operation, and at the end of the term.
	Context context.Context
	end     func()
}

// End marks the operation as over: it was answered or given up.
func (a Operation) End() { a.end() }

// Begin begins an operation; false means that none may begin now. Call it just before the
// operation is sent, and End when it is over.
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

// Status tells whether this node may act. Its values are part of the causes that operators
// read.
type Status string

// The results of Acquire. MaybeHeldElsewhere stands for every reason not to act now other than
// a store that didn't answer. Besides a lease that another node holds or may hold, these are:
// this node is releasing the lease or started too recently to take a released one, it is too
// early for another write, too little of its own lease is left for an unfenced operation, its
// write was refused, the store was restored meanwhile, or the row can't be encoded.
const (
	Held               Status = "held"
	MaybeHeldElsewhere Status = "another node may hold it"
	StoreUnavailable   Status = "the store did not answer"
)

// Acquire takes the lease if nobody else may hold it, and reports whether this node holds it
// now. It calls the store only when there is something to do, so a lease that nobody needs
// costs nothing. If the store doesn't answer, the node steps back from its duties.
func (a *Authority) Acquire(ctx context.Context) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.acquire(ctx)
	if status == StoreUnavailable {
		a.StepBack()
	}
	return status
}

// StepBack leaves the duties to other nodes until a lease that this node may hold has expired.
func (a *Authority) StepBack() {
	if a.options.StepBack != nil {
		a.options.StepBack(a.options.Life*11/10 + stepBackMargin)
	}
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
		// An earlier process on this machine may have held the lease before the holder that
		// released it. Taking it now could make the two act alternately within the life of one
		// lease.
		a.options.Log.Info("the authority was released, but this process started too recently to take it; waiting")
		return MaybeHeldElsewhere
	}
	proposal := a.machine.Next(a.options.Clock())
	if proposal.Action == lease.Wait {
		a.options.Log.WithField("holder", a.machine.Holder()).Info("another node may hold the authority; waiting")
		return MaybeHeldElsewhere
	}
	return a.writeLease(ctx, proposal)
}

// hasTimeLeft reports whether an operation may begin: fenced ones as long as the lease is held,
// unfenced ones only while enough of it is left for the operation to end.
func (a *Authority) hasTimeLeft(now time.Time) bool {
	if !a.machine.Holds(now) {
		return false
	}
	least := time.Duration(headroom * float64(a.options.Life))
	return !a.options.Unfenced || a.machine.Until().Sub(now) >= least
}

// renew extends the lease if it is time to.
func (a *Authority) renew(ctx context.Context) {
	if proposal := a.machine.Next(a.options.Clock()); proposal.Action == lease.Renew {
		a.writeLease(ctx, proposal)
	}
}

// Term returns the current term; false means that no operation may begin now.
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

// Holding returns the fence of this node's lease and when it expires; false means that it holds
// none. Unlike Term it doesn't tell whether an operation may begin.
func (a *Authority) Holding() (Term, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fence := a.machine.Fence(a.options.Clock())
	return Term{Fence: fence, Until: a.machine.Until()}, fence != 0
}

// Fence returns the fence of this node's lease, zero if it holds none. Operations get theirs
// from Begin instead.
func (a *Authority) Fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Fence(a.options.Clock())
}

// Condition returns a condition for writes to the store that holds only as long as nobody has
// taken the lease since. It returns false if this node doesn't hold the lease.
func (a *Authority) Condition() (rowstore.Condition, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.machine.Holds(a.options.Clock())
	return rowstore.Condition{Table: table, Key: keyForEra(tablefeed.Version(a.version).Era()), Version: a.version}, held
}

// Renounce ends this node's lease after an operation was refused for its fence, which means
// that another node has taken the lease.
func (a *Authority) Renounce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.Renounce()
}

// Times of the release.
const (
	// releaseTimeout bounds the wait for operations in flight. It is longer than the longest of
	// them (2 s).
	releaseTimeout = 2500 * time.Millisecond
	releasePoll    = 20 * time.Millisecond
	// releasePause separates the last operation from the release: a call that was given up may
	// still be in transit, which takes twelve milliseconds between regions and as much again in
	// queues.
	releasePause = 200 * time.Millisecond
)

// Release releases the lease before this process ends, so that the next holder doesn't have to
// wait until it expires. It lets no operation begin any more and waits for those in flight. If
// one doesn't end, the lease expires as usual.
func (a *Authority) Release(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for !a.beginRelease() {
		select {
		case <-waitCtx.Done():
			a.options.Log.Warn("the authority was not released: an operation is still in flight")
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
		a.options.Log.WithError(err).Error("the authority was not released")
		return
	}
	_, done, err := a.write(ctx, proposal, content)
	a.options.Log.WithFields(logrus.Fields{"written": done, "cause": causeOf(err)}).Info("tried to release the authority")
}

// beginRelease prevents further operations and reports whether none is in flight.
func (a *Authority) beginRelease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releasing = true
	return a.inFlight == 0
}

// ConditionFailed records that a write under a condition from Condition was refused. This means
// that another node has taken the lease, unless the lease was renewed since or the condition
// belongs to an earlier era of the store.
func (a *Authority) ConditionFailed(condition rowstore.Condition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if condition.Version == a.version && a.options.Store.Era() == a.machine.Era() {
		a.machine.Renounce()
	}
}

// StoreAnswers reads the row of the lease and reports whether the store answered. If the row
// doesn't change, this node may take the lease sooner once it is to act.
func (a *Authority) StoreAnswers(ctx context.Context) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.observe(ctx)
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
			a.options.Log.WithField("cause", err.Error()).Error("the authority's row is malformed; it counts as held until it expires")
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

// writeLease writes the row to take the lease or to renew it, as the proposal says. It logs
// "authority taken" in both cases; the field renewed tells them apart.
func (a *Authority) writeLease(ctx context.Context, proposal lease.Proposal) Status {
	content, err := json.Marshal(rowValue{Holder: a.options.Self, Fence: proposal.Fence})
	if err != nil {
		a.machine.WriteFailed()
		return MaybeHeldElsewhere
	}
	version, done, err := a.write(ctx, proposal, content)
	if err != nil || !done {
		a.machine.WriteFailed()
		a.options.Log.WithFields(logrus.Fields{"if_version": proposal.IfVersion, "written": done, "cause": causeOf(err)}).Warn("the authority was not taken or renewed")
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

// causeOf describes the result of a write, for log lines that also tell whether it was written.
// Without an error, a row that was not written had another version than the condition required.
func causeOf(err error) string {
	if err == nil {
		return "no error; if not written, the row had another version"
	}
	return err.Error()
}
