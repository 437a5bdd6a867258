// Package tableshare lets nodes fetch the tables of the platform's store from each other: the
// whole table when a node starts, later the changes that are too large for a datagram. If all
// nodes of a large fleet read their tables at the store, they would occupy its link for
// seconds, and call it ten thousand times. Therefore only few nodes read there, and each of the
// others asks one that has the table. A node sends the compressed rows on as it received them.
//
// Guarantee: a node sends only while the store has confirmed what it holds, to itself or to the
// node that it follows, no longer ago than Freshness (package tablerelay). A packed whole table
// of largeTableRows or more may have been confirmed up to repackInterval ago; the headers tell
// the age of its confirmation.
package tableshare

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

// Names in the HTTP protocol between nodes.
const (
	pathTables      = "/tables/"
	pathTable       = pathTables + "{table}"
	queryAfter      = "after"
	queryAtOnce     = "at_once"
	headerWhole     = "Table-Whole"
	headerChanged   = "Table-Changed"
	headerConfirmed = "Table-Confirmed"
	headerAge       = "Table-Age-Ms"
	decimal         = 10
)

// HeldTable is the state of a table that this node holds and can send, as implemented by
// tablefeed.Feed.
type HeldTable interface {
	// Held returns the changes after a version, or the whole table.
	Held(after tablefeed.Version) (copied tablefeed.Transfer, known bool)
	// Confirmation returns the latest confirmation of the table. Changed returns a channel that
	// is closed when it next changes.
	Confirmation() (confirmation tablefeed.Confirmation, own bool)
	Changed() <-chan struct{}
}

// Server sends the tables that this node holds to other nodes. It is safe for concurrent use.
type Server struct {
	freshness time.Duration
	// onQuery is called with each table that another node asks for.
	onQuery func(table string)

	mu     sync.Mutex
	tables map[string]HeldTable
	// packed holds the last packed whole table by table name, and changes the last packed
	// changes: nodes that wait for the same changes get the same bytes.
	packed  map[string]packedTable
	changes map[string]packedChanges
}

// packedChanges are packed changes after a version.
type packedChanges struct {
	packedTable
	after tablefeed.Version
}

// packedTable is a whole table, or changes of it, in wire format.
type packedTable struct {
	body         []byte
	confirmation tablefeed.Confirmation
	rows         int
}

// A packed table of largeTableRows or more is sent for up to repackInterval even if it has
// changed since: the receiver gets the changes in the same way as all other nodes. Packing
// 10,000 rows takes a small node a quarter of a second. A smaller table is packed again after a
// change, so that a starting node doesn't receive an older version than others hold.
const (
	repackInterval = 5 * time.Second
	largeTableRows = 200
)

// maxHold is how long a call is held open while there is nothing to send, so that nodes that
// start together needn't repeat their calls.
const maxHold = 500 * time.Millisecond

// NewServer returns a server that sends tables whose last confirmation is no older than
// freshness, and calls onQuery with each table that another node asks for.
func NewServer(freshness time.Duration, onQuery func(table string)) *Server {
	return &Server{freshness: freshness, onQuery: onQuery, tables: make(map[string]HeldTable), packed: make(map[string]packedTable), changes: make(map[string]packedChanges)}
}

// Add offers a table to other nodes.
func (s *Server) Add(table string, held HeldTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[table] = held
}

// Handler returns the HTTP handler for other nodes.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	s.Register(router)
	return router
}

// Register adds the tables to a router for other nodes.
func (s *Server) Register(router chi.Router) { router.Get(pathTable, s.serve) }

// serve answers 200 with rows, or with no rows if the store has confirmed a later version
// without changes. It answers 204 if it knows of no later version than the one asked for, and
// 503 if this node has nothing that is fresh enough.
func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	table := chi.URLParam(request, "table")
	after, err := strconv.ParseUint(request.URL.Query().Get(queryAfter), decimal, 64)
	if err != nil {
		http.Error(writer, "the version after which rows are asked for is no number", http.StatusBadRequest)
		return
	}
	s.onQuery(table)
	hold := maxHold
	if request.URL.Query().Has(queryAtOnce) {
		hold = 0
	}
	answer, status := s.awaitAnswer(request.Context(), table, tablefeed.Version(after), hold)
	if status != http.StatusOK {
		writer.WriteHeader(status)
		return
	}
	header := writer.Header()
	header.Set(headerWhole, strconv.FormatBool(answer.whole))
	header.Set(headerChanged, strconv.FormatUint(uint64(answer.confirmation.Changed), decimal))
	header.Set(headerConfirmed, strconv.FormatUint(uint64(answer.confirmation.Confirmed), decimal))
	header.Set(headerAge, strconv.FormatInt(time.Since(answer.confirmation.At).Milliseconds(), decimal))
	_, _ = writer.Write(answer.body)
}

// awaitAnswer returns an answer as soon as there is something to send, or after hold at the
// latest.
func (s *Server) awaitAnswer(ctx context.Context, table string, after tablefeed.Version, hold time.Duration) (answer, int) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		held, known := s.heldTable(table)
		if !known {
			return answer{}, http.StatusNotFound
		}
		changed := held.Changed()
		answer, status := s.answer(table, held, after, time.Now())
		if status != http.StatusServiceUnavailable && status != http.StatusNoContent {
			return answer, status
		}
		select {
		case <-ctx.Done():
			return answer, status
		case <-timer.C:
			return answer, status
		case <-changed:
		}
	}
}

func (s *Server) heldTable(table string) (HeldTable, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.tables[table]
	return held, known
}

// answer is a packed table, or changes of it.
type answer struct {
	packedTable
	whole bool
}

func (s *Server) answer(table string, held HeldTable, after tablefeed.Version, now time.Time) (answer, int) {
	if confirmation, _ := held.Confirmation(); now.Sub(confirmation.At) > s.freshness {
		return answer{}, http.StatusServiceUnavailable
	}
	if after == 0 {
		return s.packTable(table, held, after, now)
	}
	transfer, known := held.Held(after)
	switch {
	case !known:
		return answer{}, http.StatusServiceUnavailable
	case transfer.Whole:
		return s.packTable(table, held, after, now)
	case transfer.Confirmation.Confirmed <= after:
		return answer{}, http.StatusNoContent
	}
	return s.packChanges(table, after, transfer)
}

// packChanges packs changes, unless the cached ones are the same.
func (s *Server) packChanges(table string, after tablefeed.Version, transfer tablefeed.Transfer) (answer, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.changes[table]
	if last.after == after && last.confirmation.Changed == transfer.Confirmation.Changed && last.body != nil {
		return answer{packedTable: packedTable{last.body, transfer.Confirmation, len(transfer.Rows)}}, http.StatusOK
	}
	body, err := pack(transfer.Rows)
	if err != nil {
		return answer{}, http.StatusInternalServerError
	}
	s.changes[table] = packedChanges{packedTable{body, transfer.Confirmation, len(transfer.Rows)}, after}
	return answer{packedTable: s.changes[table].packedTable}, http.StatusOK
}

// packTable returns the packed whole table. A large cached one that has changed since is only
// returned if it is newer than after. The lock ensures that only one table is packed at a time.
func (s *Server) packTable(table string, held HeldTable, after tablefeed.Version, now time.Time) (answer, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmation, _ := held.Confirmation()
	packed, cached := s.packed[table]
	switch {
	case cached && packed.confirmation.Changed == confirmation.Changed:
		packed.confirmation = confirmation
		return answer{packedTable: packed, whole: true}, http.StatusOK
	case cached && packed.rows >= largeTableRows && packed.confirmation.Confirmed > after && now.Sub(packed.confirmation.At) < repackInterval:
		return answer{packedTable: packed, whole: true}, http.StatusOK
	}
	transfer, known := held.Held(0)
	if !known {
		return answer{}, http.StatusServiceUnavailable
	}
	body, err := pack(transfer.Rows)
	if err != nil {
		return answer{}, http.StatusInternalServerError
	}
	s.packed[table] = packedTable{body, transfer.Confirmation, len(transfer.Rows)}
	return answer{packedTable: s.packed[table], whole: true}, http.StatusOK
}

// cacheChanges caches changes received from another node, for nodes that wait for the same
// ones.
func (s *Server) cacheChanges(table string, after tablefeed.Version, packed packedTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[table] = packedChanges{packed, after}
}

// cacheTable caches a whole table received from another node, for nodes that ask for it here.
func (s *Server) cacheTable(table string, packed packedTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packed[table] = packed
}
