// Package authority lets one node at a time act for all: give engines orders, report
// usage, order workers. It drives a lease that lies in a row of the platform's store.
package authority

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/lease"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// The row of the lease.
const (
	table = "authority"
	key   = "stages"
	// storeTimeout bounds a call to the store: a lease lives several times as long.
	storeTimeout = 800 * time.Millisecond
)

// rowValue is what lies in the row.
type rowValue struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Released bool   `json:"released,omitempty"`
}

// Options are what an authority works with.
type Options struct {
	// Self is this node's incarnation.
	Self string
	// Life is how long the lease lasts unrenewed.
	Life  time.Duration
	Store rowstore.Store
	Log   *logrus.Logger
	// StandAside leaves the duties to another node for a time: the store can't be
	// reached. It may be nil.
	StandAside func(span time.Duration)
}

// asideMargin is for how long a node that can't reach the store leaves its duties to
// others, besides a life of the lease and a tenth: one of them must first hear of it,
// which takes up to two seconds, and then see the lease unchanged for that time before
// it takes it (inc-6b64).
const asideMargin = 3 * time.Second

// Authority is this node's part in the lease. It is safe for concurrent use: several
// duties share it.
type Authority struct {
	options Options

	mu      sync.Mutex
	machine *lease.Machine
	// version is that of the row while this node holds the lease.
	version uint64
}

// New returns the authority of a node.
func New(options Options) *Authority {
	return &Authority{options: options, machine: lease.New(options.Self, lease.DefaultSettings(options.Life))}
}

// Hold is whether this node may act.
type Hold string

// The states of a hold.
const (
	Held      Hold = "held"
	HeldOther Hold = "another node may hold it"
	StoreAway Hold = "the store did not answer"
)

// Acquire takes the lease where nobody else may hold it, and reports whether this node
// holds it now. The store is asked only when something is to be done: a lease that nobody
// needs costs nothing. Where the store doesn't answer the node stands aside.
func (a *Authority) Acquire(ctx context.Context) Hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	hold := a.acquire(ctx)
	if hold == StoreAway && a.options.StandAside != nil {
		a.options.StandAside(a.options.Life*11/10 + asideMargin)
	}
	return hold
}

func (a *Authority) acquire(ctx context.Context) Hold {
	if a.machine.Holds(time.Now()) {
		return Held
	}
	if !a.observe(ctx) {
		return StoreAway
	}
	proposal := a.machine.Next(time.Now())
	if proposal.Action != lease.Take {
		a.options.Log.WithField("holder", a.machine.Holder()).Info("another node may hold the authority; waiting")
		return HeldOther
	}
	return a.take(ctx, proposal)
}

// Fence returns the fence of this node's lease, zero where it holds none. Ask for it just
// before each act.
func (a *Authority) Fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Fence(time.Now())
}

// Condition returns the condition under which writes to the store are this node's to
// make: that nobody has taken the lease since. It is false where this node holds none.
func (a *Authority) Condition() (rowstore.Condition, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.machine.Holds(time.Now())
	return rowstore.Condition{Table: table, Key: key, Version: a.version}, held
}

// Renounce ends this node's lease, since an act was refused for its fence: another node
// has taken the lease.
func (a *Authority) Renounce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.Renounce()
}

func (a *Authority) observe(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	content, version, err := a.options.Store.ReadRow(callCtx, table, key)
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
	a.machine.Observe(lease.Row{Version: version, Holder: value.Holder, Fence: value.Fence, Released: value.Released}, time.Now())
	return true
}

func (a *Authority) take(ctx context.Context, proposal lease.Proposal) Hold {
	content, err := json.Marshal(rowValue{Holder: a.options.Self, Fence: proposal.Fence})
	if err != nil {
		a.machine.Lost()
		return HeldOther
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, done, err := a.options.Store.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: table, Key: key, Version: proposal.IfVersion}},
		Writes:     []rowstore.Write{{Table: table, Key: key, Value: content}},
	})
	if err != nil || !done {
		a.machine.Lost()
		a.options.Log.WithFields(logrus.Fields{"if_version": proposal.IfVersion, "written": done, "cause": causeOf(err)}).Warn("the authority was not taken")
		if err != nil {
			return StoreAway
		}
		return HeldOther
	}
	a.machine.Done(version, time.Now())
	a.version = version
	a.options.Log.WithField("fence", version).Info("authority taken")
	if !a.machine.Holds(time.Now()) {
		return HeldOther
	}
	return Held
}

func causeOf(err error) string {
	if err == nil {
		return "the row has another version"
	}
	return err.Error()
}
