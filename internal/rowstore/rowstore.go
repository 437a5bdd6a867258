// Package rowstore defines the types for conditional writes to rows of the platform's store.
package rowstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrRestored means that the store was restored from a backup during a call: it is unknown
// whether the result belongs to the history that the caller meant.
var ErrRestored = eris.New("the store was restored from a backup since the call began")

// Condition is the version that a row must have, zero if it must not exist. Versions are those
// of tablefeed, which sort by the era of the store's history first.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Write is a row to write, or to remove if its value is nil.
type Write struct {
	Table, Key string
	Value      []byte
}

// Transaction is carried out atomically, or not at all if one of its conditions doesn't hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Store is the part of the platform's store that transactions need.
type Store interface {
	// ReadRow returns a row's value and version; version zero means that the row doesn't exist.
	ReadRow(ctx context.Context, table, key string) (value []byte, version uint64, err error)
	// Transact carries out a transaction and returns the new version of its rows. done is false
	// if a condition did not hold. After an error it is unknown whether the transaction was
	// carried out.
	Transact(ctx context.Context, transaction Transaction) (version uint64, done bool, err error)
	// Era returns the latest era of the store's history seen in an answer. It increases when
	// the store is restored from a backup: all writes since that backup are lost.
	Era() uint64
}

// DatedRow is a row as the store held it at a time. Version zero means that it doesn't exist.
type DatedRow struct {
	Value   []byte
	Version uint64
	// NowMillis is the time by the store's steady clock, and Era the number of its history then.
	NowMillis int64
	Era       uint64
}

// Dated is a store that tells its time with what it returns.
type Dated interface {
	ReadDated(ctx context.Context, table, key string) (DatedRow, error)
}

// Call describes a finished call to the store, for metrics.
type Call struct {
	// Kind and Table tell what was requested.
	Kind  CallKind
	Table string
	// Succeeded tells that the store did what was requested. It is false without an answer, and
	// also if the answer was that a condition doesn't hold, that the history is gone, or any
	// other error.
	Succeeded bool
	// Sent and Received are the sizes of the bodies in bytes.
	Sent, Received int
}

// CallKind is the kind of a call to the store.
type CallKind string

// The kinds of calls.
const (
	ReadCall     CallKind = "read"
	ChangesCall  CallKind = "changes"
	TransactCall CallKind = "transact"
)
