// Package memorystore is a store of rows in the memory of a test. It can be told to be
// away, and to lose answers.
package memorystore

import (
	"context"
	"errors"
	"sync"

	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// ErrAway is what calls get that have no answer.
var ErrAway = errors.New("the store is away")

// Faults are what the store can be told to do.
type Faults struct {
	// Down answers nothing and does nothing.
	Down bool
	// LoseWrites carries transactions out and doesn't answer them.
	LoseWrites bool
}

// Store implements rowstore.Store, and the reading of whole tables. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]map[string]tablefeed.Row
	version uint64
	era     uint64
	faults  Faults
	calls   int
}

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[string]map[string]tablefeed.Row)} }

// SetFaults replaces the faults.
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

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call, and reports whether it is answered.
func (s *Store) begin() error {
	s.calls++
	if s.faults.Down {
		return ErrAway
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
	return rows, tablefeed.Version(s.version), nil
}

// Transact implements rowstore.Store.
func (s *Store) Transact(_ context.Context, transaction rowstore.Transaction) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, false, err
	}
	for _, condition := range transaction.Conditions {
		if uint64(s.rows[condition.Table][condition.Key].Version) != condition.Version {
			return 0, false, nil
		}
	}
	s.version++
	for _, write := range transaction.Writes {
		s.write(write)
	}
	if s.faults.LoseWrites {
		return 0, false, ErrAway
	}
	return s.version, true, nil
}

func (s *Store) write(write rowstore.Write) {
	if s.rows[write.Table] == nil {
		s.rows[write.Table] = make(map[string]tablefeed.Row)
	}
	if write.Value == nil {
		delete(s.rows[write.Table], write.Key)
		return
	}
	s.rows[write.Table][write.Key] = tablefeed.Row{Key: write.Key, Value: write.Value, Version: tablefeed.Version(s.version)}
}
