package serving

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/memorystore"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

var (
	oldAddress = netip.MustParseAddrPort("10.0.0.1:7000")
	newAddress = netip.MustParseAddrPort("10.0.0.2:7000")
)

// putNodeRow writes a node's row.
func putNodeRow(t *testing.T, store nodeListStore, name string, address netip.AddrPort) {
	t.Helper()
	value, err := json.Marshal(nodeRow{Incarnation: name, Exchange: address.String(), Zone: "a"})
	if err != nil {
		t.Fatal(err)
	}
	transaction := rowstore.Transaction{Writes: []rowstore.Write{{Table: nodesTable, Key: name, Value: value}}}
	if _, _, err := store.Transact(context.Background(), transaction); err != nil {
		t.Fatal(err)
	}
}

func listedKeys(t *testing.T, store nodeListStore) []string {
	t.Helper()
	rows, _, err := store.Read(context.Background(), nodesTable)
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	slices.Sort(keys)
	return keys
}

// TestRowOfADepartedNodeIsRemoved, and no other.
func TestRowOfADepartedNodeIsRemoved(t *testing.T) {
	store := memorystore.New()
	putNodeRow(t, store, "gone", oldAddress)
	putNodeRow(t, store, "replacement", newAddress)
	unlisted, err := removeRows(context.Background(), store, []netip.AddrPort{oldAddress})
	if err != nil || !slices.Equal(unlisted, []netip.AddrPort{oldAddress}) {
		t.Errorf("%v, %v", unlisted, err)
	}
	if left := listedKeys(t, store); !slices.Equal(left, []string{"replacement"}) {
		t.Errorf("listed: %v", left)
	}
}

// TestNodeThatRemovedItsRowIsUnlisted without anything to remove.
func TestNodeThatRemovedItsRowIsUnlisted(t *testing.T) {
	store := memorystore.New()
	putNodeRow(t, store, "replacement", newAddress)
	if unlisted, err := removeRows(context.Background(), store, []netip.AddrPort{oldAddress}); err != nil || len(unlisted) != 1 {
		t.Errorf("%v, %v", unlisted, err)
	}
}

// staleStore returns an older list than the store holds.
type staleStore struct {
	*memorystore.Store
	rows []tablefeed.Row
}

func (s *staleStore) Read(context.Context, string) ([]tablefeed.Row, tablefeed.Version, error) {
	return s.rows, 0, nil
}

// TestRewrittenRowIsNotRemoved: the node has started again since the list was read.
func TestRewrittenRowIsNotRemoved(t *testing.T) {
	store := memorystore.New()
	putNodeRow(t, store, "node", oldAddress)
	rows, _, err := store.Read(context.Background(), nodesTable)
	if err != nil {
		t.Fatal(err)
	}
	putNodeRow(t, store, "node", newAddress)
	unlisted, err := removeRows(context.Background(), &staleStore{store, rows}, []netip.AddrPort{oldAddress})
	if err != nil || len(unlisted) != 0 {
		t.Errorf("%v, %v", unlisted, err)
	}
	if left := listedKeys(t, store); !slices.Equal(left, []string{"node"}) {
		t.Errorf("listed: %v", left)
	}
}

// TestNoNodeIsUnlistedWithoutTheStore.
func TestNoNodeIsUnlistedWithoutTheStore(t *testing.T) {
	store := memorystore.New()
	putNodeRow(t, store, "gone", oldAddress)
	store.SetFaults(memorystore.Faults{Down: true})
	if unlisted, err := removeRows(context.Background(), store, []netip.AddrPort{oldAddress}); err == nil || len(unlisted) != 0 {
		t.Errorf("%v, %v", unlisted, err)
	}
}

// frozenStore can be read, but refuses writes.
type frozenStore struct{ *memorystore.Store }

var errFrozen = errors.New("the store refuses writes")

func (frozenStore) Transact(context.Context, rowstore.Transaction) (uint64, bool, error) {
	return 0, false, errFrozen
}

// TestNodesWhoseRowsRemainAreNotUnlisted: if one row can't be removed, the later ones must not
// count as removed.
func TestNodesWhoseRowsRemainAreNotUnlisted(t *testing.T) {
	store := memorystore.New()
	putNodeRow(t, store, "gone", oldAddress)
	putNodeRow(t, store, "gone too", newAddress)
	unlisted, err := removeRows(context.Background(), frozenStore{store}, []netip.AddrPort{oldAddress, newAddress})
	if !errors.Is(err, errFrozen) || len(unlisted) != 0 {
		t.Errorf("%v, %v", unlisted, err)
	}
}
