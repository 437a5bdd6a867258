package tableshare

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

const freshness = time.Minute

// testTable is a HeldTable whose contents the test sets.
type testTable struct {
	copy         tablefeed.Copy
	confirmation atomic.Pointer[tablefeed.Confirmation]
	changed      atomic.Pointer[chan struct{}]
}

// Changed creates the channel on the first call; wake closes it.
func (h *testTable) Changed() <-chan struct{} {
	made := make(chan struct{})
	if h.changed.CompareAndSwap(nil, &made) {
		return made
	}
	if known := h.changed.Load(); known != nil {
		return *known
	}
	return h.Changed()
}

// wake has a held call answered.
func (h *testTable) wake() {
	if changed := h.changed.Swap(nil); changed != nil {
		close(*changed)
	}
}

func (h *testTable) Confirmation() (tablefeed.Confirmation, bool) {
	if confirmation := h.confirmation.Load(); confirmation != nil {
		return *confirmation, false
	}
	return tablefeed.Confirmation{}, false
}

func (h *testTable) Held(after tablefeed.Version) (tablefeed.Transfer, bool) {
	confirmation, _ := h.Confirmation()
	if rows, _, kept := h.copy.Since(after); kept && after > 0 {
		return tablefeed.Transfer{Rows: rows, Confirmation: confirmation}, true
	}
	rows, _, known := h.copy.Whole()
	return tablefeed.Transfer{Whole: true, Rows: rows, Confirmation: confirmation}, known
}

func (h *testTable) set(rows []tablefeed.Row, version tablefeed.Version, age time.Duration) {
	h.copy.Reset(rows, version)
	h.confirmation.Store(&tablefeed.Confirmation{Changed: version, Confirmed: version, At: time.Now().Add(-age)})
	h.wake()
}

func (h *testTable) change(rows []tablefeed.Row, version tablefeed.Version) {
	h.copy.Apply(rows, version)
	h.confirmation.Store(&tablefeed.Confirmation{Changed: version, Confirmed: version, At: time.Now()})
	h.wake()
}

// testNode is a node that sends tables; it counts the queries that it gets.
type testNode struct {
	table   testTable
	server  *Server
	address netip.AddrPort
	asked   atomic.Int64
}

func startNode(t *testing.T) *testNode {
	t.Helper()
	n := &testNode{}
	n.server = NewServer(freshness, func(string) { n.asked.Add(1) })
	n.server.Add("workers", &n.table)
	listening := httptest.NewServer(n.server.Handler())
	t.Cleanup(listening.Close)
	n.address = netip.MustParseAddrPort(listening.Listener.Addr().String())
	return n
}

// fixedFleet are the nodes to be asked, in order.
type fixedFleet []netip.AddrPort

func (o fixedFleet) TableProviders(context.Context) []netip.AddrPort { return slices.Clone(o) }

func (o fixedFleet) Neighbours() []netip.AddrPort { return nil }

func (o fixedFleet) ChangeProviders(string, []netip.AddrPort) []netip.AddrPort {
	return slices.Clone(o)
}

func client(server *Server, givers ...netip.AddrPort) *Client {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewClient(fixedFleet(givers), server, (&net.Dialer{}).DialContext, log)
}

// deadNode returns an address at which nothing listens.
func deadNode(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func testRows(count int) []tablefeed.Row {
	var rows []tablefeed.Row
	for i := range count {
		rows = append(rows, tablefeed.Row{Key: fmt.Sprint("w", i), Value: fmt.Appendf(nil, `{"Address":"10.0.0.%d:80"}`, i), Version: 5})
	}
	return rows
}

func byKey(rows []tablefeed.Row) map[string]tablefeed.Row {
	byKey := make(map[string]tablefeed.Row)
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey
}

func TestRowsSurvivePacking(t *testing.T) {
	rows := append(testRows(3), tablefeed.Row{Key: "binary", Value: []byte{0xff, 0}, Version: 7}, tablefeed.Row{Key: "gone", Version: 9, Gone: true},
		tablefeed.Row{Key: "nested", Value: bytes.Repeat([]byte("["), 100_000), Version: 10})
	packed, err := pack(rows)
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(packed)
	if diff := cmp.Diff(rows, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for _, malformed := range [][]byte{nil, []byte("no gzip"), packed[:len(packed)/2]} {
		if _, err := unpack(malformed); err == nil {
			t.Errorf("%d malformed bytes were unpacked", len(malformed))
		}
	}
}

// TestWholeTableIsSentOnUnchanged: a node that received a table sends the same bytes, without
// packing them again.
// TestPartOfATableIsNotUnpacked: a cut copy of a table unpacks as a shorter one.
func TestPartOfATableIsNotUnpacked(t *testing.T) {
	packed, err := pack([]tablefeed.Row{{Key: "a", Value: []byte("1"), Version: 1}, {Key: "b", Value: []byte("2"), Version: 2}})
	if err != nil {
		t.Fatal(err)
	}
	for size := range packed {
		if rows, err := unpack(packed[:size]); err == nil {
			t.Errorf("%d of %d bytes: %v", size, len(packed), rows)
		}
	}
}

func TestWholeTableIsSentOnUnchanged(t *testing.T) {
	first, second := startNode(t), startNode(t)
	first.table.set(testRows(200), 9, 0)
	copied, err := client(second.server, first.address).FetchTable(context.Background(), "workers")
	if err != nil || !copied.Whole || copied.Confirmation.Changed != 9 {
		t.Fatalf("%v, version %d", err, copied.Confirmation.Changed)
	}
	if diff := cmp.Diff(byKey(testRows(200)), byKey(copied.Rows)); diff != "" {
		t.Error(diff)
	}
	second.table.set(copied.Rows, 9, 0)
	third, err := client(first.server, second.address).FetchTable(context.Background(), "workers")
	if err != nil || len(third.Rows) != 200 {
		t.Fatalf("%v, %d rows", err, len(third.Rows))
	}
	if !bytes.Equal(first.server.packed["workers"].body, second.server.packed["workers"].body) {
		t.Error("the table was packed again")
	}
}

// TestChangesAfterAVersion: changes are waited for, and the whole table is sent if some of the
// changes have been discarded.
func TestChangesAfterAVersion(t *testing.T) {
	giving := startNode(t)
	giving.table.set(testRows(3), 10, 0)
	asking := client(NewServer(freshness, func(string) {}), giving.address)
	time.AfterFunc(30*time.Millisecond, func() {
		giving.table.change([]tablefeed.Row{{Key: "w1", Gone: true, Version: 11}}, 11)
	})
	copied, err := asking.FetchChanges(context.Background(), "workers", 10, nil)
	if err != nil || copied.Whole || len(copied.Rows) != 1 || !copied.Rows[0].Gone || copied.Confirmation.Changed != 11 {
		t.Errorf("%+v, %v", copied, err)
	}
	copied, err = asking.FetchChanges(context.Background(), "workers", 3, nil)
	if err != nil || !copied.Whole || len(copied.Rows) != 2 {
		t.Errorf("%d rows, whole %v, %v", len(copied.Rows), copied.Whole, err)
	}
}

// TestCutOffNodeSendsNothing: its copy may be old, so another node is asked.
func TestCutOffNodeSendsNothing(t *testing.T) {
	old, current := startNode(t), startNode(t)
	old.table.set(testRows(1), 4, 2*freshness)
	current.table.set(testRows(2), 8, 0)
	copied, err := client(current.server, old.address, current.address).FetchTable(context.Background(), "workers")
	if err != nil || copied.Confirmation.Changed != 8 {
		t.Errorf("version %d, %v", copied.Confirmation.Changed, err)
	}
	if _, err := client(current.server, old.address).FetchChanges(context.Background(), "workers", 3, nil); !errors.Is(err, tablefeed.ErrNoCopy) {
		t.Errorf("an old copy was taken: %v", err)
	}
}

// TestNodeThatIsStillFetchingIsWaitedFor, while one that is down isn't.
func TestNodeThatIsStillFetchingIsWaitedFor(t *testing.T) {
	starting := startNode(t)
	time.AfterFunc(50*time.Millisecond, func() { starting.table.set(testRows(2), 6, 0) })
	copied, err := client(starting.server, deadNode(t), starting.address).FetchTable(context.Background(), "workers")
	if err != nil || copied.Confirmation.Changed != 6 {
		t.Errorf("version %d, %v", copied.Confirmation.Changed, err)
	}
	if asked := starting.asked.Load(); asked != 1 {
		t.Errorf("the node was asked %d times", asked)
	}
	if _, err := client(starting.server, deadNode(t)).FetchTable(context.Background(), "workers"); !errors.Is(err, tablefeed.ErrNoCopy) {
		t.Errorf("a dead node returned a copy: %v", err)
	}
	if _, err := client(starting.server).FetchTable(context.Background(), "workers"); !errors.Is(err, tablefeed.ErrNoCopy) {
		t.Errorf("a copy was returned though there are no nodes: %v", err)
	}
}

// TestNoChangesUpToLaterVersion: an answer without rows may confirm a later version. A node
// that heard of that version then needn't ask the store.
func TestNoChangesUpToLaterVersion(t *testing.T) {
	giving := startNode(t)
	giving.table.set(testRows(3), 10, 0)
	giving.table.confirmation.Store(&tablefeed.Confirmation{Changed: 10, Confirmed: 17, At: time.Now()})
	copied, err := client(giving.server, giving.address).FetchChanges(context.Background(), "workers", 12, nil)
	if err != nil || copied.Whole || len(copied.Rows) != 0 || copied.Confirmation.Confirmed != 17 {
		t.Errorf("%+v, %v", copied, err)
	}
}

// frozenNode returns an address that accepts connections and never answers.
func frozenNode(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestFrozenNodeKeepsNoChangesFromAnother: neither a node that never answers nor one that is
// itself waiting for the changes may delay them.
func TestFrozenNodeKeepsNoChangesFromAnother(t *testing.T) {
	waiting, giving := startNode(t), startNode(t)
	waiting.table.set(testRows(3), 4, 0)
	giving.table.set(testRows(3), 8, 0)
	asking := client(NewServer(freshness, func(string) {}), frozenNode(t), waiting.address, giving.address)
	copied, err := asking.FetchChanges(context.Background(), "workers", 4, nil)
	if err != nil || copied.Confirmation.Changed != 8 {
		t.Errorf("version %d, %v", copied.Confirmation.Changed, err)
	}
}

// TestNodeThatStartsTakesNothingOlderThanOthersHold, where the table is small enough to be
// packed again.
func TestNodeThatStartsTakesNothingOlderThanOthersHold(t *testing.T) {
	giving := startNode(t)
	for version := tablefeed.Version(5); version < 8; version++ {
		giving.table.set(testRows(3), version, 0)
		copied, err := client(giving.server, giving.address).FetchTable(context.Background(), "workers")
		if err != nil || copied.Confirmation.Changed != version {
			t.Errorf("version %d where the other node holds %d, %v", copied.Confirmation.Changed, version, err)
		}
	}
}

// readerFleet is the fleet of a node that reads tables at the store.
type readerFleet struct{ fixedFleet }

func (readerFleet) TableProviders(context.Context) []netip.AddrPort { return nil }

func (r readerFleet) Neighbours() []netip.AddrPort { return slices.Clone(r.fixedFleet) }

// TestNodeThatIsToReadAtTheStoreTakesWhatItsNeighboursHold, and waits for none of them.
func TestNodeThatIsToReadAtTheStoreTakesWhatItsNeighboursHold(t *testing.T) {
	empty, giving := startNode(t), startNode(t)
	asking := client(empty.server)
	asking.fleet = readerFleet{fixedFleet{empty.address}}
	if _, err := asking.FetchTable(context.Background(), "workers"); !errors.Is(err, tablefeed.ErrNoCopy) {
		t.Errorf("a node that holds nothing returned a copy: %v", err)
	}
	if asked := empty.asked.Load(); asked != 1 {
		t.Errorf("a node that holds nothing was asked %d times", asked)
	}
	giving.table.set(testRows(3), 7, 0)
	asking.fleet = readerFleet{fixedFleet{deadNode(t), empty.address, giving.address}}
	if copied, err := asking.FetchTable(context.Background(), "workers"); err != nil || copied.Confirmation.Changed != 7 {
		t.Errorf("version %d, %v", copied.Confirmation.Changed, err)
	}
}
