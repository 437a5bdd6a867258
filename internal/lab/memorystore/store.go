// Package memorystore is an in-memory store of rows for tests. It can be made unavailable, and
// can lose the answers to writes.
package memorystore

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// ErrUnavailable is returned by calls that get no answer.
var ErrUnavailable = errors.New("the store is unavailable")

// Faults are the faults that the store injects.
type Faults struct {
	// Down fails all calls without carrying them out.
	Down bool
	// LoseWrites commits transactions and returns ErrUnavailable for them.
	LoseWrites bool
}

// Store implements rowstore.Store and reads whole tables. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]map[string]tablefeed.Row
	version uint64
	era     uint64
	// written holds all rows ever written, in order, except those that a restore lost. A row
	// without a value is a removal.
	written []writtenRow
	faults  Faults
	calls   int
}

// writtenRow is a written row and the version of its transaction.
type writtenRow struct {
	rowstore.Write
	version uint64
}

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[string]map[string]tablefeed.Row)} }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Era implements rowstore.Store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of calls so far, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call and returns ErrUnavailable if the store is down.
func (s *Store) begin() error {
	s.calls++
	if s.faults.Down {
		return ErrUnavailable
	}
	return nil
}

// ReadRow implements rowstore.Store.
func (s *Store) ReadRow(_ context.Context, table, key string) ([]byte, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	row := s.rows[table][key]
	return row.Value, uint64(row.Version), nil
}

// Read returns all rows of a table.
func (s *Store) Read(_ context.Context, table string) ([]tablefeed.Row, tablefeed.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	var rows []tablefeed.Row
	for _, row := range s.rows[table] {
		rows = append(rows, row)
	}
	return rows, s.newestVersion(), nil
}

// Transact implements rowstore.Store. Conditions are compared by version number alone. If one
// that holds has a version of an earlier era, the transaction is committed and returns
// rowstore.ErrRestored: the node hadn't heard of the restore, so it can't rely on the result.
func (s *Store) Transact(_ context.Context, transaction rowstore.Transaction) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, false, err
	}
	stale := false
	for _, condition := range transaction.Conditions {
		version := tablefeed.Version(condition.Version)
		if s.rows[condition.Table][condition.Key].Version.Number() != version.Number() {
			return 0, false, nil
		}
		stale = stale || version > 0 && version.Era() < s.era
	}
	s.version++
	for _, write := range transaction.Writes {
		s.written = append(s.written, writtenRow{write, s.version})
		s.write(write, s.version)
	}
	if stale {
		return 0, false, rowstore.ErrRestored
	}
	if s.faults.LoseWrites {
		return 0, false, ErrUnavailable
	}
	return uint64(s.newestVersion()), true, nil
}

// newestVersion returns the version of the last transaction.
func (s *Store) newestVersion() tablefeed.Version { return tablefeed.VersionOf(s.era, s.version) }

// Restore puts the store back to its state after this many transactions, as a restore from a
// backup does, and raises the era.
func (s *Store) Restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = slices.DeleteFunc(s.written, func(row writtenRow) bool { return row.version > version })
	s.rows = make(map[string]map[string]tablefeed.Row)
	s.version = version
	s.era++
	for _, row := range s.written {
		s.write(row.Write, row.version)
	}
}

func (s *Store) write(write rowstore.Write, version uint64) {
	if s.rows[write.Table] == nil {
		s.rows[write.Table] = make(map[string]tablefeed.Row)
	}
	if write.Value == nil {
		delete(s.rows[write.Table], write.Key)
		return
	}
	s.rows[write.Table][write.Key] = tablefeed.Row{Key: write.Key, Value: write.Value, Version: tablefeed.VersionOf(s.era, version)}
}
