// Package rowstore has the types by which parts of a node write rows of the platform's
// store under conditions.
package rowstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrRestored tells that the store has come back from a copy during a call: whether what it did
// was meant for this history isn't known.
var ErrRestored = eris.New("the store has come back from a copy since the call began")

// Condition is a version that a row must have, zero where there must be none. Versions are those
// of tablefeed, in which the era of the store's history comes first.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Write is a row to be written, or to be removed where its value is nil.
type Write struct {
	Table, Key string
	Value      []byte
}

// Transaction is carried out whole, or not at all where a condition doesn't hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Store is the part of the platform's store that transactions need.
type Store interface {
	// ReadRow returns a row's value and version; version zero means that there is none.
	ReadRow(ctx context.Context, table, key string) (value []byte, version uint64, err error)
	// Transact carries a transaction out, and returns the version that its rows have
	// then. done is false where a condition did not hold. An error leaves open whether it
	// was carried out.
	Transact(ctx context.Context, transaction Transaction) (version uint64, done bool, err error)
	// Era is the newest history of the store of which there was an answer. It rises when the
	// store has come back from a copy: what was written after that copy is gone.
	Era() uint64
}

// Call is a call to the store that has ended, for metrics.
type Call struct {
	// Kind and Table tell what was asked for.
	Kind  CallKind
	Table string
	// Answered tells that the store did what was asked.
	Answered bool
	// Sent and Received are the bytes of the bodies.
	Sent, Received int
}

// CallKind is what a call does.
type CallKind string

// The kinds of calls.
const (
	ReadCall     CallKind = "read"
	ChangesCall  CallKind = "changes"
	TransactCall CallKind = "transact"
)
