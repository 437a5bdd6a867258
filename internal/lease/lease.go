// Package lease decides who may give orders: a lease that lies in one row of a
// store with conditional writes. It is pure: the driver makes the calls and owns
// the clock. spec/storelease.pml is its model.
//
// Guarantees, as long as clocks run at nearly the same pace:
//   - at most one node holds the lease at any time, whatever is delayed, lost or
//     paused, since a node takes it only after it has seen the row unchanged for as
//     long as its holder may act on it, and a holder counts its time from before it
//     sent the write that renewed it;
//   - fences rise: the fence is the store's version of the write that took the
//     lease. A renewal keeps it;
//   - both hold where the store comes back from an older copy. Each era of its history has a
//     row of its own: a write that was meant for an earlier one can't touch it, and nobody
//     takes the lease there before any holder's of an earlier one has run out.
package lease

import "time"

// Row is the state of the lease in the store.
type Row struct {
	// Era is that of the store's history. Each has a row of its own.
	Era uint64
	// Version of the row, zero where there is none.
	Version uint64
	// Holder is the incarnation that wrote it.
	Holder string
	// Fence is that of the holder's lease. It is zero in the write that takes the
	// lease: there the version is the fence.
	Fence uint64
	// Released tells that the holder gave the lease back.
	Released bool
}

// Action is what the driver is to do.
type Action string

// The actions.
const (
	// Wait for the row to change or for time to pass.
	Wait Action = "wait"
	// Take the lease by a write under the condition that the row has the version of
	// Proposal.
	Take Action = "take"
	// Renew the lease by such a write.
	Renew Action = "renew"
)

// Proposal is a conditional write.
type Proposal struct {
	Action Action
	// Era is that of the row, and IfVersion the version that it must have, zero for none.
	Era       uint64
	IfVersion uint64
	Fence     uint64
	// sent is when the driver asked for the proposal.
	sent time.Time
}

// Settings are the times of a lease.
type Settings struct {
	// Life is how long a holder may act after a renewal.
	Life time.Duration
	// Margin covers clocks that run at different paces.
	Margin time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// KeepFence lets a node whose lease has run out go on under the fence that it had,
	// as long as nobody else has taken the lease since. Then calls of its own that come
	// late have no lower fence than newer ones of its own. Otherwise the fence rises.
	KeepFence bool
}

// DefaultSettings returns the times for a lease of a life.
func DefaultSettings(life time.Duration) Settings {
	return Settings{Life: life, Margin: life / 10, RenewEvery: life / 3}
}

// StateMachine is one node's view of the lease.
type StateMachine struct {
	self     string
	settings Settings

	row Row
	// firstSeen is when this node first saw the row's version.
	firstSeen time.Time
	known     bool
	// heldUntil is when this node's lease ends, zero where it has none.
	heldUntil time.Time
	fence     uint64
	nextWrite time.Time
	// pending is the write whose answer is awaited.
	pending *Proposal
}

// New returns a machine of a node incarnation.
func New(self string, settings Settings) *StateMachine {
	return &StateMachine{self: self, settings: settings}
}

// Observe takes in the row as the store has it. A holder that finds no row in a new era goes on:
// nobody else can have the lease before its own has run out.
func (m *StateMachine) Observe(row Row, now time.Time) {
	restored := m.known && row.Era > m.row.Era
	if m.known && !restored && (row.Era < m.row.Era || row.Version <= m.row.Version) {
		return
	}
	if restored {
		m.pending, m.nextWrite = nil, time.Time{} // what is pending is for another row
	}
	m.row, m.firstSeen, m.known = row, now, true
	if restored && row.Version == 0 {
		return
	}
	if row.Holder != m.self || row.Released {
		m.heldUntil, m.fence = time.Time{}, 0
	}
}

// Era is that of the row that was seen last.
func (m *StateMachine) Era() uint64 { return m.row.Era }

// Next returns what is to be done now. A proposal stays pending until Done or Lost.
func (m *StateMachine) Next(now time.Time) Proposal {
	switch {
	case !m.known || m.pending != nil || now.Before(m.nextWrite):
		return Proposal{Action: Wait}
	case m.Holds(now) || m.canResume():
		return m.propose(Proposal{Action: Renew, Era: m.row.Era, IfVersion: m.row.Version, Fence: m.fence, sent: now})
	case m.isFree(now):
		return m.propose(Proposal{Action: Take, Era: m.row.Era, IfVersion: m.row.Version, sent: now})
	}
	return Proposal{Action: Wait}
}

func (m *StateMachine) propose(proposal Proposal) Proposal {
	m.pending = &proposal
	m.nextWrite = proposal.sent.Add(m.settings.RenewEvery)
	return proposal
}

// canResume reports whether this node may go on under the fence of its last lease. The row
// still being its own means that no higher fence exists.
func (m *StateMachine) canResume() bool {
	return m.settings.KeepFence && m.fence != 0 && m.row.Holder == m.self && !m.row.Released
}

// isFree reports whether nobody else can hold the lease any more: the row has not
// changed for a whole life since this node first saw it, was given back, or is this
// incarnation's own; or there never was one.
func (m *StateMachine) isFree(now time.Time) bool {
	if m.row.Released || m.row.Holder == m.self || m.row.Version == 0 && m.row.Era == 0 {
		return true
	}
	return now.Sub(m.firstSeen) >= m.settings.Life+m.settings.Margin
}

// WriteSucceeded takes in that the pending write was carried out at a version. It holds from
// when the write was sent.
func (m *StateMachine) WriteSucceeded(version uint64, now time.Time) {
	if m.pending == nil {
		return
	}
	proposal := *m.pending
	m.pending = nil
	fence := proposal.Fence
	if proposal.Action == Take {
		fence = version
	}
	if m.known && m.row.Version > version {
		return // a later write is known already
	}
	m.row = Row{Era: proposal.Era, Version: version, Holder: m.self, Fence: fence}
	m.firstSeen = now
	m.fence = fence
	m.heldUntil = proposal.sent.Add(m.settings.Life - m.settings.Margin)
}

// WriteFailed takes in that the pending write was refused or not answered. It may still be
// carried out: then the row shows it, and does not lengthen the lease.
func (m *StateMachine) WriteFailed() { m.pending = nil }

// Holds reports whether this node may act now. Ask it just before each order.
func (m *StateMachine) Holds(now time.Time) bool { return m.fence != 0 && now.Before(m.heldUntil) }

// Until returns when this node's lease ends, the zero time where it has none.
func (m *StateMachine) Until() time.Time { return m.heldUntil }

// Fence returns the fence of this node's lease, zero where it holds none.
func (m *StateMachine) Fence(now time.Time) uint64 {
	if !m.Holds(now) {
		return 0
	}
	return m.fence
}

// Renounce ends this node's lease without a write: another node was seen to act under a
// higher fence. The row is looked at again before the lease is taken anew.
func (m *StateMachine) Renounce() { m.heldUntil, m.fence = time.Time{}, 0 }

// Holder returns the incarnation that wrote the row last, as far as is known.
func (m *StateMachine) Holder() string { return m.row.Holder }

// Release ends this node's lease, and returns the write that gives it back; false where the
// row isn't its own. One that has run out is given back too, so that nobody waits for it:
// the write fails if another node has taken it since.
func (m *StateMachine) Release() (Proposal, bool) {
	if !m.known || m.row.Holder != m.self || m.row.Released {
		return Proposal{}, false
	}
	m.heldUntil, m.fence = time.Time{}, 0
	return Proposal{Action: Renew, Era: m.row.Era, IfVersion: m.row.Version}, true
}

// Released reports whether the row was given back by its holder.
func (m *StateMachine) Released() bool { return m.row.Released }
