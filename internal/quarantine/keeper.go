package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// The figures of what a node tells others.
const (
	// tellings is how often a change is told, since datagrams may be lost, and tellEvery the
	// time between two.
	tellings  = 3
	tellEvery = 150 * time.Millisecond
	// worthSaving is the number of crashes from which a request is told to all nodes and
	// kept in the store. One crash says nearly nothing, and each end of a worker makes as
	// many of them as it ran requests.
	worthSaving = 2
)

// Where a change comes from, in the log; changes that other nodes tell name the node.
const (
	sourceOwn   = "own"
	sourceStore = "store"
	sourceAge   = "age"
)

// telling is a record that others are still to be told.
type telling struct {
	record Record
	left   int
	due    time.Time
}

// Manager keeps a node's book: it takes in what this node sees, other nodes tell and the
// store holds, and knows what is still to be told and saved. It is safe for concurrent use.
type Manager struct {
	log logrus.FieldLogger
	// alone keepers belong to a node that tells others nothing.
	alone bool
	// refused counts the tries of quarantined requests.
	refused prometheus.Counter
	// chosen reports whether this node is the one that gives a request its trials.
	chosen func(request Fingerprint) bool
	// toTell and toSave are sent to when there may be something new to be told or saved.
	toTell, toSave chan struct{}

	mu     sync.Mutex
	book   *Detector
	untold map[Fingerprint]*telling
	// tried is when this node last let a quarantined request through.
	tried map[Fingerprint]time.Time
}

// NewManager returns a keeper that knows nothing.
func NewManager(chosen func(request Fingerprint) bool, log logrus.FieldLogger) *Manager {
	return &Manager{
		log: log, chosen: chosen,
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_quarantine_refused_total", Help: "Tries of quarantined requests.",
		}),
		toTell: make(chan struct{}, 1), toSave: make(chan struct{}, 1),
		book: NewDetector(), untold: make(map[Fingerprint]*telling), tried: make(map[Fingerprint]time.Time),
	}
}

// NewLocalManager returns a keeper of a node that tells others nothing, and gives all trials
// itself.
func NewLocalManager(log logrus.FieldLogger) *Manager {
	k := NewManager(func(Fingerprint) bool { return true }, log)
	k.alone = true
	return k
}

// DueSignal gives a token when Due may have records.
func (k *Manager) DueSignal() <-chan struct{} { return k.toTell }

// UnsavedSignal gives a token when Unsaved may have records.
func (k *Manager) UnsavedSignal() <-chan struct{} { return k.toSave }

// Standing tells how a request is to be treated. It lets a quarantined request through for
// a trial, once, where one is due and this node is chosen for it.
func (k *Manager) Standing(request Fingerprint, now time.Time) Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	standing := k.book.Status(request, now)
	if !standing.Quarantined {
		return standing
	}
	if standing.TrialDue && now.Sub(k.tried[request]) >= trialAfter[0] && k.chosen(request) {
		k.tried[request] = now
		standing.Quarantined = false
		k.log.WithFields(logrus.Fields{"fingerprint": request.String(), "crashes": standing.Crashes}).
			Warn("a quarantined request is let through for a trial")
		return standing
	}
	k.refused.Inc()
	return standing
}

// Crashed records that a worker ended that ran these requests.
func (k *Manager) Crashed(crashes map[Fingerprint]Crash, now time.Time) {
	told := make([]Record, 0, len(crashes))
	for request, crash := range crashes {
		told = append(told, Record{Fingerprint: request, Crashes: []Crash{crash}})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed(k.book.Merge(told, now), sourceOwn, now)
}

// Survived records that a worker ran a request to an end and lives.
func (k *Manager) Survived(request Fingerprint, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if record, changed := k.book.Clear(request, now); changed {
		k.log.WithField("fingerprint", request.String()).Info("a request is no longer suspected: a worker has run it")
		k.changed([]Record{record}, sourceOwn, now)
	}
}

// Lives records that a worker answers that was taken for ended.
func (k *Manager) Lives(worker string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if records := k.book.ClearWorker(worker, now); len(records) > 0 {
		k.log.WithFields(logrus.Fields{"worker": worker, "requests": len(records)}).Warn("a worker lives that was taken for ended")
		k.changed(records, sourceOwn, now)
	}
}

// Receive takes in what another node tells. It returns the records that have changed by it and
// that every node is to know.
func (k *Manager) Receive(node string, records []Record) []Record {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	ordered := make([]Record, 0, len(records))
	for _, record := range records {
		ordered = append(ordered, record.Sorted())
	}
	changed := k.book.Merge(ordered, now)
	k.changed(changed, "node "+node, now)
	return slices.DeleteFunc(changed, func(r Record) bool { return !IsShared(r) })
}

// changed judges anew, logs what has come of it, and has the records told that this node
// itself has changed.
func (k *Manager) changed(records []Record, source string, now time.Time) {
	if len(records) == 0 {
		return
	}
	k.judge(source)
	for _, record := range records {
		if record.CountedCrashes() >= worthSaving {
			k.logRecord(record, source, "request suspected: workers end under it")
		}
		if source == sourceOwn && !k.alone {
			k.untold[record.Fingerprint] = &telling{record: record, left: tellings, due: now}
		}
	}
	notify(k.toTell)
	notify(k.toSave)
}

func notify(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

func (k *Manager) judge(source string) {
	judgement := k.book.Evaluate()
	for _, record := range judgement.Quarantined {
		k.logRecord(record, source, "request quarantined")
	}
	for _, record := range judgement.Released {
		k.logRecord(record, source, "request released from quarantine")
	}
}

func (k *Manager) logRecord(record Record, source, message string) {
	var workers []string
	for _, crash := range record.Crashes {
		if !crash.Cleared {
			workers = append(workers, crash.Worker)
		}
	}
	k.log.WithFields(logrus.Fields{
		"fingerprint": record.Fingerprint.String(), "crashes": len(workers), "workers": workers, "source": source,
	}).Warn(message)
}

// Due returns the records that others are to be told now, and the time until there may be
// more.
func (k *Manager) Due(now time.Time) (records []Record, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait = time.Minute
	for request, told := range k.untold {
		if now.Before(told.due) {
			wait = min(wait, told.due.Sub(now))
			continue
		}
		records = append(records, told.record)
		told.left--
		told.due = now.Add(tellEvery)
		wait = min(wait, tellEvery)
		if told.left == 0 {
			delete(k.untold, request)
		}
	}
	return records, wait
}

// Shared returns the records that every node is to know.
func (k *Manager) Shared() []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var shared []Record
	for _, known := range k.book.entries {
		if known.CountedCrashes() >= worthSaving {
			shared = append(shared, known.copied())
		}
	}
	return shared
}

// IsShared reports whether a record is one that every node is to know: it has several
// crashes, or had and is cleared.
func IsShared(record Record) bool { return len(record.Crashes) >= worthSaving }

// Unsaved returns the records that the store doesn't hold and is to.
func (k *Manager) Unsaved() []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var unsaved []Record
	for _, known := range k.book.entries {
		if known.stored == nil && known.CountedCrashes() < worthSaving {
			continue
		}
		if known.stored == nil || !known.stored.covers(known.Record) || known.Quarantined && !known.stored.Quarantined {
			unsaved = append(unsaved, known.copied())
		}
	}
	return unsaved
}

// Stored takes in a record that the store holds since one of its versions.
func (k *Manager) Stored(record Record, version uint64, now time.Time) {
	record = record.Sorted()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed(k.book.Merge([]Record{record}, now), sourceStore, now)
	known := k.book.entry(record.Fingerprint)
	if version >= known.storedAt {
		known.stored, known.storedAt = &record, version
	}
}

// Removed takes in that the store holds a request no more as of a version: an operator has
// released it, or it has been there for long enough. What was written after that stays.
func (k *Manager) Removed(request Fingerprint, version uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, exists := k.book.entries[request]
	if !exists || known.stored == nil || known.storedAt > version {
		return
	}
	known.stored = nil
	records := k.book.Release(request, now)
	k.log.WithField("fingerprint", request.String()).Warn("a request was taken out of the store's quarantine")
	k.changed(records, sourceStore, now)
}

// SyncStored takes in which requests the store holds as of a version: those that it held
// before and holds no more were removed.
func (k *Manager) SyncStored(held map[Fingerprint]bool, version uint64, now time.Time) {
	k.mu.Lock()
	var removed []Fingerprint
	for request, known := range k.book.entries {
		if known.stored != nil && !held[request] {
			removed = append(removed, request)
		}
	}
	k.mu.Unlock()
	for _, request := range removed {
		k.Removed(request, version, now)
	}
}

// StoreRestored takes in which requests the store holds after it came back from a copy. Those that it
// lacks were lost, not released: they are to be saved again.
func (k *Manager) StoreRestored(held map[Fingerprint]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lost := 0
	for request, known := range k.book.entries {
		if known.stored != nil && !held[request] {
			known.stored = nil
			lost++
		}
	}
	if lost > 0 {
		k.log.WithField("requests", lost).Warn("the restored store lacks requests of the quarantine; they are saved again")
		notify(k.toSave)
	}
}

// Expire forgets what is old. It returns the requests that the store still holds of it.
func (k *Manager) Expire(now time.Time) []Fingerprint {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.tried, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > quarantinedFor })
	var stored []Fingerprint
	for _, record := range k.book.Expire(now) {
		stored = append(stored, record.Fingerprint)
	}
	k.judge(sourceAge)
	slices.SortFunc(stored, func(a, b Fingerprint) int {
		if a.less(b) {
			return -1
		}
		return 1
	})
	return stored
}

// Register has a registry tell what a keeper knows.
func (k *Manager) Register(registry prometheus.Registerer) {
	gauge := func(name, help string, of func() int) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(of()) }))
	}
	gauge("tinarch_quarantine_suspected", "Requests under which a worker has ended that nothing explains yet.", func() int {
		suspected, _ := k.counts()
		return suspected
	})
	gauge("tinarch_quarantine_requests", "Requests that are given to no worker, since workers end under them.", func() int {
		_, quarantined := k.counts()
		return quarantined
	})
	registry.MustRegister(k.refused)
}

func (k *Manager) counts() (suspected, quarantined int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Counts()
}
