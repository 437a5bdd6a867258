package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Parameters of the messages to other nodes.
const (
	// broadcastRepeats is how many times a change is sent to the other nodes, because datagrams
	// may be lost; broadcastInterval is the time between two of them.
	broadcastRepeats  = 3
	broadcastInterval = 150 * time.Millisecond
	// sharedCrashes is the number of crashes from which a request is shared with all nodes and
	// saved in the store. A single crash says next to nothing, and every crash of a worker adds
	// one to each of the requests that it was running. Shared and IsShared say which crashes
	// are counted.
	sharedCrashes = 2
)

// Sources of a change in the log. Changes received from another node have the node's name.
const (
	sourceOwn   = "own"
	sourceStore = "store"
	sourceAge   = "age"
)

// pendingBroadcast is a record that is still to be sent to other nodes.
type pendingBroadcast struct {
	record  Record
	repeats int
	due     time.Time
}

// Manager keeps a node's Detector up to date with what this node observes, what other nodes
// report and what the store holds, and knows which records are still to be sent and saved. It
// is safe for concurrent use.
type Manager struct {
	log logrus.FieldLogger
	// local means that this node sends nothing to other nodes.
	local bool
	// refused counts the attempts to run quarantined requests that were refused. Trials aren't
	// counted.
	refused prometheus.Counter
	// runsTrials reports whether this node is the one that runs the trials of a request.
	runsTrials func(request Fingerprint) bool
	// dueSignal and unsavedSignal receive a value when there may be new records to send or
	// save.
	dueSignal, unsavedSignal chan struct{}

	mu       sync.Mutex
	detector *Detector
	pending  map[Fingerprint]*pendingBroadcast
	// lastTrial is when this node last let each quarantined request through.
	lastTrial map[Fingerprint]time.Time
}

// NewManager returns a manager that knows of no crashes. runsTrials reports whether this node
// runs the trials of a request.
func NewManager(runsTrials func(request Fingerprint) bool, log logrus.FieldLogger) *Manager {
	return &Manager{
		log: log, runsTrials: runsTrials,
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_quarantine_refused_total", Help: "Tries of quarantined requests.",
		}),
		dueSignal: make(chan struct{}, 1), unsavedSignal: make(chan struct{}, 1),
		detector: NewDetector(), pending: make(map[Fingerprint]*pendingBroadcast), lastTrial: make(map[Fingerprint]time.Time),
	}
}

// NewLocalManager returns a manager for a node that sends nothing to other nodes, and runs all
// trials itself.
func NewLocalManager(log logrus.FieldLogger) *Manager {
	m := NewManager(func(Fingerprint) bool { return true }, log)
	m.local = true
	return m
}

// DueSignal returns a channel that receives a value when Due may have records.
func (m *Manager) DueSignal() <-chan struct{} { return m.dueSignal }

// UnsavedSignal returns a channel that receives a value when Unsaved may have records.
func (m *Manager) UnsavedSignal() <-chan struct{} { return m.unsavedSignal }

// Check decides whether a request whose prompt has these parts may be sent to a worker now. If a
// trial of a quarantined request is due and this node runs its trials, the call uses up the
// trial: the request is let through once. Otherwise it counts the refusal of a quarantined
// request.
func (m *Manager) Check(request Fingerprint, now time.Time, parts ...Fingerprint) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.detector.Status(request, now, parts...)
	if !status.Quarantined {
		return status
	}
	cause := status.Cause
	if status.TrialDue && now.Sub(m.lastTrial[cause]) >= trialDelays[0] && m.runsTrials(cause) {
		m.lastTrial[cause] = now
		status.Quarantined, status.Trial = false, true
		m.log.WithFields(logrus.Fields{"fingerprint": cause.String(), "crashes": max(status.Crashes, status.PartCrashes)}).
			Warn("a quarantined request is let through for a trial")
		return status
	}
	m.refused.Inc()
	return status
}

// Status returns the status of a request whose prompt has these parts, without using up a trial.
func (m *Manager) Status(request Fingerprint, now time.Time, parts ...Fingerprint) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Status(request, now, parts...)
}

// Crashed records the requests that were running on crashed workers, and the parts of their
// prompts.
func (m *Manager) Crashed(crashes map[Fingerprint]Crash, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]Record, 0, len(crashes))
	for request, crash := range crashes {
		if !m.detector.Outweighed(request, now) {
			records = append(records, Record{Fingerprint: request, Crashes: []Crash{crash}})
		}
	}
	m.recordChanges(m.detector.Merge(records, now), sourceOwn, now)
}

// Survived records that a worker ran a request to completion and is alive. parts are those of
// its prompt, if the worker has written an answer to it.
func (m *Manager) Survived(request Fingerprint, now time.Time, parts ...Fingerprint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordChanges(m.detector.Completed(parts, now), sourceOwn, now)
	if record, changed := m.detector.Clear(request, now); changed {
		m.log.WithField("fingerprint", request.String()).Info("a request is no longer suspected: a worker has run it")
		m.recordChanges([]Record{record}, sourceOwn, now)
	}
}

// WorkerAlive records that a worker that was taken for crashed is alive.
func (m *Manager) WorkerAlive(worker string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if records := m.detector.ClearWorker(worker, now); len(records) > 0 {
		m.log.WithFields(logrus.Fields{"worker": worker, "requests": len(records)}).Warn("a worker that was taken for crashed is alive")
		m.recordChanges(records, sourceOwn, now)
	}
}

// Receive merges records from another node. It returns those that have changed and are shared
// with all nodes.
func (m *Manager) Receive(node string, records []Record) []Record {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	ordered := make([]Record, 0, len(records))
	for _, record := range records {
		ordered = append(ordered, record.Sorted())
	}
	changed := m.detector.Merge(ordered, now)
	outweighed := m.detector.Outweigh(changed, now)
	m.recordChanges(changed, "node "+node, now)
	m.recordChanges(outweighed, sourceOwn, now)
	return slices.DeleteFunc(changed, func(r Record) bool { return !IsShared(r) })
}

// recordChanges evaluates the requests anew after a change, logs the result, and schedules the
// records that this node itself has changed to be sent to the others. It logs each changed
// record with sharedCrashes or more uncleared crashes as suspected, also if the change cleared
// a crash or the request is quarantined; the field crashes tells how many are left.
func (m *Manager) recordChanges(records []Record, source string, now time.Time) {
	if len(records) == 0 {
		return
	}
	m.evaluate(source)
	for _, record := range records {
		if record.CountedCrashes() >= sharedCrashes {
			m.logRecord(record, source, messageSuspected)
		}
		if source == sourceOwn && !m.local {
			record.Quarantined = m.detector.lastQuarantined[record.Fingerprint]
			m.pending[record.Fingerprint] = &pendingBroadcast{record: record, repeats: broadcastRepeats, due: now}
		}
	}
	signal(m.dueSignal)
	signal(m.unsavedSignal)
}

func signal(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

func (m *Manager) evaluate(source string) {
	changes := m.detector.Evaluate()
	for _, record := range changes.Quarantined {
		m.logRecord(record, source, messageQuarantined)
		if record.Fingerprint.IsPart() && !m.local {
			m.pending[record.Fingerprint] = &pendingBroadcast{record: record, repeats: broadcastRepeats}
		}
	}
	for _, record := range changes.Released {
		m.logRecord(record, source, messageReleased)
	}
}

// Messages of logRecord, after what they are about.
const (
	messageSuspected   = " suspected: workers crashed while running it"
	messageQuarantined = " quarantined"
	messageReleased    = " released from quarantine"
)

func (m *Manager) logRecord(record Record, source, message string) {
	about := "request"
	if record.Fingerprint.IsPart() {
		about = "prompt part"
	}
	var workers []string
	for _, crash := range record.Crashes {
		if !crash.Cleared {
			workers = append(workers, crash.Worker)
		}
	}
	m.log.WithFields(logrus.Fields{
		"fingerprint": record.Fingerprint.String(), "crashes": len(workers), "workers": workers, "source": source,
	}).Warn(about + message)
}

// Due returns the records that are to be sent to other nodes now, and the time until there may
// be more.
func (m *Manager) Due(now time.Time) (records []Record, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait = time.Minute
	for request, pending := range m.pending {
		if now.Before(pending.due) {
			wait = min(wait, pending.due.Sub(now))
			continue
		}
		records = append(records, pending.record)
		pending.repeats--
		pending.due = now.Add(broadcastInterval)
		wait = min(wait, broadcastInterval)
		if pending.repeats == 0 {
			delete(m.pending, request)
		}
	}
	return records, wait
}

// Shared returns the records for a node that is heard for the first time or again after a
// silence: those with at least sharedCrashes crashes that aren't cleared.
func (m *Manager) Shared() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shared []Record
	for _, known := range m.detector.entries {
		if known.CountedCrashes() >= sharedCrashes {
			shared = append(shared, known.clone())
		}
	}
	return shared
}

// IsShared reports whether a change of a record is to be broadcast to all nodes: the record has
// at least sharedCrashes crashes, cleared ones included, so that nodes also learn that crashes
// were cleared.
func IsShared(record Record) bool { return len(record.Crashes) >= sharedCrashes }

// Unsaved returns the records that are to be saved in the store and aren't yet. Parts are saved
// once they are quarantined: each crash makes several of them suspected, and most are cleared
// within moments.
func (m *Manager) Unsaved() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var unsaved []Record
	for _, known := range m.detector.entries {
		if known.stored == nil && (known.CountedCrashes() < sharedCrashes || known.Fingerprint.IsPart() && !known.Quarantined) {
			continue
		}
		if known.stored == nil || !known.stored.covers(known.Record) || known.Quarantined && !known.stored.Quarantined {
			unsaved = append(unsaved, known.clone())
		}
	}
	return unsaved
}

// Stored records that the store holds a record, written at a version of the store.
func (m *Manager) Stored(record Record, version uint64, now time.Time) {
	record = record.Sorted()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordChanges(m.detector.Merge([]Record{record}, now), sourceStore, now)
	known := m.detector.entry(record.Fingerprint)
	if version >= known.storedVersion {
		known.stored, known.storedVersion = &record, version
	}
}

// Removed records that the store no longer holds a request as of a version: an operator has
// released it, or it has expired. A record written after that version stays.
func (m *Manager) Removed(request Fingerprint, version uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, exists := m.detector.entries[request]
	if !exists || known.stored == nil || known.storedVersion > version {
		return
	}
	known.stored = nil
	records := m.detector.Release(request, now)
	m.log.WithField("fingerprint", request.String()).Warn("a request was taken out of the store's quarantine")
	m.recordChanges(records, sourceStore, now)
}

// SyncStored takes the complete set of requests that the store holds as of a version. Requests
// that it held before and no longer holds have been removed.
func (m *Manager) SyncStored(held map[Fingerprint]bool, version uint64, now time.Time) {
	m.mu.Lock()
	var removed []Fingerprint
	for request, known := range m.detector.entries {
		if known.stored != nil && !held[request] {
			removed = append(removed, request)
		}
	}
	m.mu.Unlock()
	for _, request := range removed {
		m.Removed(request, version, now)
	}
}

// StoreRestored takes the set of requests that the store holds after it was restored from a
// backup. Requests that are missing from it were lost, not released, so they are saved again.
func (m *Manager) StoreRestored(held map[Fingerprint]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := 0
	for request, known := range m.detector.entries {
		if known.stored != nil && !held[request] {
			known.stored = nil
			lost++
		}
	}
	if lost > 0 {
		m.log.WithField("requests", lost).Warn("the restored store lacks requests of the quarantine; they are saved again")
		signal(m.unsavedSignal)
	}
}

// Expire removes old records. It returns the requests among them that the store still holds.
func (m *Manager) Expire(now time.Time) []Fingerprint {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.lastTrial, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > quarantinedFor })
	var stored []Fingerprint
	for _, record := range m.detector.Expire(now) {
		stored = append(stored, record.Fingerprint)
	}
	m.evaluate(sourceAge)
	slices.SortFunc(stored, func(a, b Fingerprint) int {
		if a.less(b) {
			return -1
		}
		return 1
	})
	return stored
}

// Register registers the manager's metrics.
func (m *Manager) Register(registry prometheus.Registerer) {
	gauge := func(name, help string, of func() int) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(of()) }))
	}
	gauge("tinarch_quarantine_suspected", "Requests under which a worker has ended that nothing explains yet.", func() int {
		suspected, _ := m.counts()
		return suspected
	})
	gauge("tinarch_quarantine_requests", "Requests that are given to no worker, since workers end under them.", func() int {
		_, quarantined := m.counts()
		return quarantined
	})
	gauge("tinarch_quarantine_parts", "Prompt parts whose requests are given to no worker, since workers end under them.", func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.detector.PartCount()
	})
	registry.MustRegister(m.refused)
}

func (m *Manager) counts() (suspected, quarantined int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Counts()
}
