// Package fleetstore is a fake of the platform's store for tests. It keeps rows in tables under
// a single increasing version, serves changes as a feed, and runs transactions that depend on
// row versions. It speaks the platform's protocol and can inject faults.
package fleetstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Row is a row as encoded on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// Faults are the faults that the store injects.
type Faults struct {
	// Down refuses all calls with 503.
	Down bool
	// Throttled refuses all calls with 429.
	Throttled bool
	// LoseWrites commits transactions but breaks off their connections without an answer.
	LoseWrites bool
	// StaleReads answers reads as of this version; zero means the newest.
	StaleReads uint64
}

// maxRowsPerAnswer limits the changed rows in one response.
const maxRowsPerAnswer = 500

// Store is a running fake store.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	version uint64
	// era is the number of the store's history; it rises with each restore from a backup.
	era     uint64
	rows    map[string]Row
	history []Row
	// written holds all rows ever written, in order, except those that a restore lost.
	written []Row
	// compactedTo is the version up to which the change history has been dropped.
	compactedTo uint64
	changed     chan struct{}
	faults      Faults
	// unreachable breaks off all calls without a response.
	unreachable bool
	calls       int
	// reads counts the calls that read rows and feeds those that ask for changes, by table.
	reads, feeds map[string]int
	// onRead, if not nil, is called with the table before each call that reads rows.
	onRead func(table string)
}

// Start starts a store on a free port.
func Start() *Store {
	s := &Store{rows: make(map[string]Row), reads: make(map[string]int), feeds: make(map[string]int), changed: make(chan struct{})}
	router := chi.NewRouter()
	router.Use(s.injectFaults)
	router.Get("/v1/rows-get", s.get)
	router.Get("/v1/rows-feed", s.feed)
	router.Post("/v1/rows-tx", s.transact)
	s.server = httptest.NewServer(router)
	return s
}

// Address returns the store's IP:PORT.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns the number of calls so far, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Reads returns the number of calls that read rows of a table; calls for changes don't count.
func (s *Store) Reads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// OnRead sets a function that is called with the table before each call that reads rows. The
// function may call the store.
func (s *Store) OnRead(callback func(table string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRead = callback
}

// Feeds returns the number of calls for changes of a table.
func (s *Store) Feeds(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds[table]
}

// Compact drops the change history, as a compaction does. A node that asks for changes since an
// earlier version is then answered 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedTo = s.version
	s.notifyFeeds()
}

// SetUnreachable makes the store break off all calls, including those in flight, or answer
// again.
func (s *Store) SetUnreachable(unreachable bool) {
	s.mu.Lock()
	s.unreachable = unreachable
	s.mu.Unlock()
	if unreachable {
		s.server.CloseClientConnections()
	}
}

// Restore puts the store back to the state at a version, as a restore from a backup does: rows,
// versions and history are those of then, the era rises, and open connections are cut. It
// returns the last state of each row that was lost.
func (s *Store) Restore(version uint64) (lost []Row) {
	s.mu.Lock()
	isLater := func(row Row) bool { return row.Version > version }
	lost = lastStates(slices.DeleteFunc(slices.Clone(s.written), func(row Row) bool { return !isLater(row) }))
	s.written = slices.DeleteFunc(s.written, isLater)
	s.history = slices.DeleteFunc(s.history, isLater)
	s.rows = make(map[string]Row)
	for _, row := range s.written {
		s.apply(row)
	}
	s.version = version
	s.compactedTo = min(s.compactedTo, version)
	s.era++
	s.notifyFeeds()
	s.mu.Unlock()
	s.server.CloseClientConnections()
	return lost
}

// lastStates returns the last row for each table and key.
func lastStates(rows []Row) []Row {
	byName := make(map[string]Row)
	for _, row := range rows {
		byName[row.path()] = row
	}
	return slices.Collect(maps.Values(byName))
}

// RewriteLost writes a row that a restore lost, unless it has been written since the store was
// restored to the given version.
func (s *Store) RewriteLost(lost Row, restored uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.written {
		if row.path() == lost.path() && row.Version > restored {
			return
		}
	}
	s.write([]Row{lost})
}

// Era returns the number of the store's history, which rises with each restore.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Put writes a row as the operator or a worker does, and returns its version. A nil value
// removes the row.
func (s *Store) Put(table, key string, value any) uint64 {
	if value == nil {
		return s.put(Row{Table: table, Key: key, Gone: true})
	}
	encoded, _ := json.Marshal(value)
	return s.put(Row{Table: table, Key: key, Value: encoded})
}

// PutBytes writes a row whose value may be none of the table's, as another writer does.
func (s *Store) PutBytes(table, key string, value []byte) uint64 {
	return s.put(Row{Table: table, Key: key, Value: value})
}

func (s *Store) put(row Row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]Row{row})
	return s.version
}

// Rows returns the rows of a table, sorted by key.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableRows(table)
}

func (s *Store) tableRows(table string) []Row {
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(left, right Row) int { return strings.Compare(left.Key, right.Key) })
}

// asOf returns the rows of a table as they were at a version.
func (s *Store) asOf(table string, version uint64) []Row {
	byKey := make(map[string]Row)
	for _, row := range s.written {
		if row.Table != table || row.Version > version {
			continue
		}
		if row.Gone {
			delete(byKey, row.Key)
		} else {
			byKey[row.Key] = row
		}
	}
	rows := slices.Collect(maps.Values(byKey))
	sortRows(rows)
	return rows
}

// Version returns the newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Store) write(rows []Row) {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.apply(row)
		s.history = append(s.history, row)
		s.written = append(s.written, row)
	}
	s.notifyFeeds()
}

// apply applies a written row to the current rows.
func (s *Store) apply(row Row) {
	if row.Gone {
		delete(s.rows, row.path())
	} else {
		s.rows[row.path()] = row
	}
}

func (r Row) path() string { return r.Table + "/" + r.Key }

func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.mu.Lock()
		s.calls++
		faults, era, unreachable := s.faults, s.era, s.unreachable
		s.mu.Unlock()
		if unreachable {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		switch {
		case faults.Down:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case faults.Throttled:
			writer.WriteHeader(http.StatusTooManyRequests)
		default:
			next.ServeHTTP(writer, request)
		}
	})
}

type answer struct {
	Rows    []Row
	More    bool   `json:"more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

func (s *Store) reply(writer http.ResponseWriter, status int, rows []Row, version uint64) {
	s.replyWith(writer, status, answer{Rows: rows, Version: version})
}

func (s *Store) replyWith(writer http.ResponseWriter, status int, response answer) {
	response.Now = time.Now().UnixMilli()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(response)
}

func (s *Store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mu.Lock()
	onRead := s.onRead
	s.mu.Unlock()
	if onRead != nil {
		onRead(query.Get("table"))
	}
	s.mu.Lock()
	s.reads[query.Get("table")]++
	rows, version := s.tableRows(query.Get("table")), s.version
	if s.faults.StaleReads > 0 {
		version = min(s.faults.StaleReads, version)
		rows = s.asOf(query.Get("table"), version)
	}
	rows = inKeyRange(rows, query.Get("From"), query.Get("TargetVersion"))
	s.mu.Unlock()
	limit, err := strconv.Atoi(query.Get("limit"))
	more := err == nil && len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.replyWith(writer, http.StatusOK, answer{Rows: rows, More: more, Version: version})
}

// inKeyRange returns the rows with keys from from up to, but not including, to. An empty to
// means no upper bound.
func inKeyRange(rows []Row, from, to string) []Row {
	return slices.DeleteFunc(rows, func(row Row) bool { return row.Key < from || to != "" && row.Key >= to })
}

func (s *Store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	s.mu.Lock()
	s.feeds[query.Get("table")]++
	s.mu.Unlock()
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		rows, version, changed := s.since(query.Get("table"), after), s.version, s.changed
		if len(rows) > maxRowsPerAnswer {
			rows = rows[:maxRowsPerAnswer]
			version = rows[maxRowsPerAnswer-1].Version
		}
		compacted := after < s.compactedTo || after > s.version
		s.mu.Unlock()
		if compacted {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.reply(writer, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			s.reply(writer, http.StatusOK, rows, version)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *Store) since(table string, after uint64) []Row {
	rows := []Row{}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows
}

type transaction struct {
	IfRevision []Row
	Put        []Row `json:"put"`
	Remove     []Row
}

func (s *Store) transact(writer http.ResponseWriter, request *http.Request) {
	var requested transaction
	if err := json.NewDecoder(request.Body).Decode(&requested); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if unmet := s.unmetConditions(requested.IfRevision); len(unmet) > 0 {
		version := s.version
		s.mu.Unlock()
		s.reply(writer, http.StatusPreconditionFailed, unmet, version)
		return
	}
	for i := range requested.Remove {
		requested.Remove[i].Gone = true
	}
	s.write(append(requested.Put, requested.Remove...))
	version, lose := s.version, s.faults.LoseWrites
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	s.reply(writer, http.StatusOK, nil, version)
}

// unmetConditions returns the current rows whose version isn't the one that a condition
// requires.
func (s *Store) unmetConditions(conditions []Row) []Row {
	var unmet []Row
	for _, condition := range conditions {
		row, exists := s.rows[condition.Table+"/"+condition.Key]
		if !exists && condition.Version != 0 || exists && row.Version != condition.Version {
			row.Table, row.Key = condition.Table, condition.Key
			unmet = append(unmet, row)
		}
	}
	return unmet
}
