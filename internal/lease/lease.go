// Package lease implements a lease that decides which node may act for all. The lease is one
// row of a store with conditional writes. The package is pure: the caller makes the store calls
// and passes the time. spec/storelease.pml is its model.
//
// Guarantees, as long as all clocks run at nearly the same rate:
//   - at most one node holds the lease at any time, even if calls or nodes are delayed, lost or
//     paused: a node takes the lease only after it has seen the row unchanged for as long as the
//     holder may act on it, and a holder counts that time from before it sent the write that
//     renewed the lease;
//   - fences (fencing tokens) increase: the fence is the store's version of the write that took
//     the lease. A renewal keeps it;
//   - both still hold after the store is restored from a backup. Each era of its history has its
//     own row: a write meant for an earlier era can't touch it, and nobody takes the lease in the
//     new era before the lease of any holder in an earlier one has expired.
package lease

import "time"

// Row is the content of the lease's row in the store.
type Row struct {
	// Era is the era of the store's history. Each era has its own row.
	Era uint64
	// Version of the row, zero if it doesn't exist.
	Version uint64
	// Holder is the node incarnation that wrote the row.
	Holder string
	// Fence is the fence of the holder's lease. It is zero in the write that takes the lease,
	// whose fence is the row's version.
	Fence uint64
	// Released tells that the holder has released the lease.
	Released bool
}

// Action is what the caller is to do next.
type Action string

// The actions.
const (
	// Wait means to do nothing until the row changes or time passes.
	Wait Action = "wait"
	// Take means to take the lease by a write on the condition that the row has the version
	// IfVersion of the Proposal.
	Take Action = "take"
	// Renew means to renew the lease by such a write.
	Renew Action = "renew"
)

// Proposal is a conditional write that the caller is to make.
type Proposal struct {
	Action Action
	// Era is the era of the row, and IfVersion the version that the row must have, zero if it
	// must not exist.
	Era       uint64
	IfVersion uint64
	Fence     uint64
	// sent is when the caller asked for the proposal.
	sent time.Time
}

// Settings configure a lease.
type Settings struct {
	// Life is the time that Margin is counted from: a holder may act for Life less Margin after
	// it sent its last successful write, and another node takes the lease once it has seen the
	// row unchanged for Life plus Margin.
	Life time.Duration
	// Margin covers the difference between the rates of the nodes' clocks. If these are equal,
	// at least twice the Margin passes between the end of a lease that was not released and the
	// next.
	Margin time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// KeepFence lets a node whose lease has expired continue under the same fence if nobody
	// else has taken the lease since. Then its own late calls never have a lower fence than its
	// newer ones. Without KeepFence the fence increases.
	KeepFence bool
}

// DefaultSettings returns the settings for a lease with the given life.
func DefaultSettings(life time.Duration) Settings {
	return Settings{Life: life, Margin: life / 10, RenewEvery: life / 3}
}

// StateMachine is one node's view of the lease.
type StateMachine struct {
	self     string
	settings Settings

	row Row
	// firstSeen is when this node first saw the row's current version.
	firstSeen time.Time
	known     bool
	// heldUntil is when this node's lease expires, zero if it holds none.
	heldUntil time.Time
	fence     uint64
	nextWrite time.Time
	// pending is the write whose answer is still outstanding.
	pending *Proposal
}

// New returns the state machine of a node incarnation.
func New(self string, settings Settings) *StateMachine {
	return &StateMachine{self: self, settings: settings}
}

// Observe updates the state with the row as read from the store. A holder that finds no row in
// a new era keeps its lease: nobody else can take one before it has expired.
func (m *StateMachine) Observe(row Row, now time.Time) {
	restored := m.known && row.Era > m.row.Era
	if m.known && !restored && (row.Era < m.row.Era || row.Version <= m.row.Version) {
		return
	}
	if restored {
		m.pending, m.nextWrite = nil, time.Time{} // the pending write is for the row of the earlier era
	}
	m.row, m.firstSeen, m.known = row, now, true
	if restored && row.Version == 0 {
		return
	}
	if row.Holder != m.self || row.Released {
		m.heldUntil, m.fence = time.Time{}, 0
	}
}

// Era returns the era of the row seen last.
func (m *StateMachine) Era() uint64 { return m.row.Era }

// Next returns what to do now. A proposal stays pending until WriteSucceeded or WriteFailed.
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

// canResume reports whether this node may continue under the fence of its expired lease. As
// long as the row is its own, no higher fence exists.
func (m *StateMachine) canResume() bool {
	return m.settings.KeepFence && m.fence != 0 && m.row.Holder == m.self && !m.row.Released
}

// isFree reports whether no other node can hold the lease: the row was released, was written by
// this incarnation, never existed in era 0, or has not changed for Life plus Margin since this
// node first saw it. A row that is missing in a later era may have been lost when the store was
// restored, so it must be missing for as long.
func (m *StateMachine) isFree(now time.Time) bool {
	if m.row.Released || m.row.Holder == m.self || m.row.Version == 0 && m.row.Era == 0 {
		return true
	}
	return now.Sub(m.firstSeen) >= m.settings.Life+m.settings.Margin
}

// WriteSucceeded records that the pending write was carried out and gave the row this version.
// The lease counts from when the write was sent.
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

// WriteFailed records that the pending write was refused or not answered. It may still be
// carried out: then the row will show it, but it doesn't extend the lease.
func (m *StateMachine) WriteFailed() { m.pending = nil }

// Holds reports whether this node may act now. Call it just before each operation.
func (m *StateMachine) Holds(now time.Time) bool { return m.fence != 0 && now.Before(m.heldUntil) }

// Until returns when this node's lease expires, the zero time if it holds none.
func (m *StateMachine) Until() time.Time { return m.heldUntil }

// Fence returns the fence of this node's lease, zero if it holds none.
func (m *StateMachine) Fence(now time.Time) uint64 {
	if !m.Holds(now) {
		return 0
	}
	return m.fence
}

// Renounce ends this node's lease without a write, because another node has acted under a
// higher fence. The row must be read again before the lease can be taken again.
func (m *StateMachine) Renounce() { m.heldUntil, m.fence = time.Time{}, 0 }

// Holder returns the incarnation known to have written the row last.
func (m *StateMachine) Holder() string { return m.row.Holder }

// Release ends this node's lease and returns the write that releases it; false if the row isn't
// this node's own. An expired lease is released too, so that nobody has to wait for it: the
// write fails if another node has taken the lease since.
func (m *StateMachine) Release() (Proposal, bool) {
	if !m.known || m.row.Holder != m.self || m.row.Released {
		return Proposal{}, false
	}
	m.heldUntil, m.fence = time.Time{}, 0
	return Proposal{Action: Renew, Era: m.row.Era, IfVersion: m.row.Version}, true
}

// Released reports whether the holder has released the lease.
func (m *StateMachine) Released() bool { return m.row.Released }
