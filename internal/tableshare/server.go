// Package tableshare lets nodes get the tables of the platform's store from each other: at
// a start the whole table, later the changes that are too large for a datagram. A large
// fleet that read all of them at the store would take its link for seconds and its calls by
// the ten thousand; so few nodes read there, and each of the others asks one that has the
// table, which hands on the compressed rows as it got them itself.
//
// Guarantee: what a node gives was confirmed by the store no longer ago than Freshness
// (package tablerelay); a node that was cut off from the store gives nothing.
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

// The names on the wire, in the project's own protocol between nodes.
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

// Source is a table that this node holds.
type Source interface {
	// Held returns the changes after a version, or the whole table.
	Held(after tablefeed.Version) (copied tablefeed.Transfer, known bool)
	// Word is what is known of the table's version, and Changed is closed when that changes.
	Word() (confirmation tablefeed.Confirmation, own bool)
	Changed() <-chan struct{}
}

// Server gives other nodes the tables that this one holds. It is safe for concurrent use.
type Server struct {
	freshness time.Duration
	// asked is told each table that another node asks for.
	onQuery func(table string)

	mu      sync.Mutex
	sources map[string]Source
	// packed holds the last whole table that was rendered, by its name, and changes the last
	// changes: nodes that wait for the same ones get the same bytes.
	packed  map[string]packedTable
	changes map[string]packedChanges
}

// packedChanges are changes after a version as they go over the wire.
type packedChanges struct {
	packedTable
	after tablefeed.Version
}

// packedTable is a whole table, or changes of it, as it goes over the wire.
type packedTable struct {
	body         []byte
	confirmation tablefeed.Confirmation
	rows         int
}

// A packed table of manyRows or more is given for repackAfter although changes have come since:
// the receiver gets these as all other nodes do. Rendering 10,000 rows takes a small node a
// quarter of a second. A smaller one is rendered anew, so that a node which starts takes nothing
// older than others hold.
const (
	repackInterval = 5 * time.Second
	largeTableRows = 200
)

// holdFor is how long a call is held while there is nothing to give, so that nodes which
// start together needn't call again and again.
const maxHold = 500 * time.Millisecond

// NewServer returns a server that gives what was confirmed within a time, and tells each
// table that another node asks for.
func NewServer(freshness time.Duration, onQuery func(table string)) *Server {
	return &Server{freshness: freshness, onQuery: onQuery, sources: make(map[string]Source), packed: make(map[string]packedTable), changes: make(map[string]packedChanges)}
}

// Add has a table given to other nodes.
func (s *Server) Add(table string, source Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[table] = source
}

// Handler returns what other nodes call.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(pathTable, s.serve)
	return router
}

// serve answers 200 with rows, none where the store has confirmed that there are none up to a
// later version, 204 where nothing later than the version asked for is known, and 503 where this node
// has nothing that it may give.
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

// held answers as soon as there is something to give, and waits for it no longer than a time.
func (s *Server) awaitAnswer(ctx context.Context, table string, after tablefeed.Version, hold time.Duration) (answer, int) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		source, known := s.source(table)
		if !known {
			return answer{}, http.StatusNotFound
		}
		changed := source.Changed()
		answer, status := s.answer(table, source, after, time.Now())
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

func (s *Server) source(table string) (Source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source, known := s.sources[table]
	return source, known
}

// answer is a packed table, whole or its changes.
type answer struct {
	packedTable
	whole bool
}

func (s *Server) answer(table string, source Source, after tablefeed.Version, now time.Time) (answer, int) {
	if confirmation, _ := source.Word(); now.Sub(confirmation.At) > s.freshness {
		return answer{}, http.StatusServiceUnavailable
	}
	if after == 0 {
		return s.packTable(table, source, after, now)
	}
	transfer, known := source.Held(after)
	switch {
	case !known:
		return answer{}, http.StatusServiceUnavailable
	case transfer.Whole:
		return s.packTable(table, source, after, now)
	case transfer.Confirmation.Confirmed <= after:
		return answer{}, http.StatusNoContent
	}
	return s.packChanges(table, after, transfer)
}

// changed renders changes, unless the last ones that were rendered or came are the same.
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

// whole returns the whole table as of later than a version. One at a time is rendered.
func (s *Server) packTable(table string, source Source, after tablefeed.Version, now time.Time) (answer, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmation, _ := source.Word()
	packed, cached := s.packed[table]
	switch {
	case cached && packed.confirmation.Changed == confirmation.Changed:
		packed.confirmation = confirmation
		return answer{packedTable: packed, whole: true}, http.StatusOK
	case cached && packed.rows >= largeTableRows && packed.confirmation.Confirmed > after && now.Sub(packed.confirmation.At) < repackInterval:
		return answer{packedTable: packed, whole: true}, http.StatusOK
	}
	transfer, known := source.Held(0)
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

// seedChanges keeps changes as another node gave them, for those that wait for the same ones.
func (s *Server) cacheChanges(table string, after tablefeed.Version, packed packedTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[table] = packedChanges{packed, after}
}

// seed keeps a whole table as another node gave it, for those that ask here.
func (s *Server) cacheTable(table string, packed packedTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packed[table] = packed
}
