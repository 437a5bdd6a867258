package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the evaluation.
const (
	// minCrashes is the number of workers that must have crashed while running a request,
	// before they began to answer it, for the request to be quarantined where no other request
	// explains the crashes. One or two happen by chance: a worker that crashes takes all its
	// requests along, and requests that ran on it side by side may be sent on together to the
	// next worker.
	minCrashes = 3
	// conclusiveCrashes is the number of crashes from which a request is quarantined even if
	// another request was present at each of them, all were at one address, or the answers had
	// begun. With it, a request reaches at most three more workers after its third crash,
	// trials included: trials are due after three, four and five crashes (trialDelays), and a
	// request that isn't quarantined before its fifth crash gets only the last of them. Either
	// way it has crashed six workers at most when no trial is left.
	conclusiveCrashes = 5
	// maxQuarantined bounds the requests and groups of parts in quarantine at a time. If more than that seem to
	// crash their workers, the workers are at fault, and refusing all the requests would end
	// the service.
	maxQuarantined = 64
	// maxCrashes bounds the crashes kept for one request.
	maxCrashes = 16
	// maxRecords bounds the requests that are kept, at some hundred bytes each. Those with the
	// fewest crashes are evicted first.
	maxRecords = 4096
	// suspectedFor is how long a request that isn't quarantined is kept, and quarantinedFor how
	// long one that is. After that it may reach workers again, and crash three more.
	suspectedFor   = time.Hour
	quarantinedFor = 24 * time.Hour
	// settlePeriod is the longest time until all nodes know what each of them was running on a
	// crashed worker: the check of the worker (lookPatience in package dispatch) and the
	// latency between two regions.
	settlePeriod = 60 * time.Millisecond
)

// trialDelays is how long after its last crash a quarantined request is kept from workers
// before a trial, by the number of its crashes above minCrashes. The delays are longer than
// workers take to restart, and than an operator takes to roll back to a version that can run
// the request. A trial runs the request once to see whether it still crashes its worker. Each
// failed trial costs a worker, so there are no more than the three that the guarantee of
// conclusiveCrashes allows.
var trialDelays = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Crash is the crash of a worker that was running a request.
type Crash struct {
	// Worker is the worker's id, which is never reused, and Address its address.
	Worker  string `json:"w"`
	Address string `json:"a"`
	// Answering means that the worker had begun to answer the request.
	Answering bool `json:"o,omitempty"`
	// Cleared means that the request is known not to have caused the crash.
	Cleared bool `json:"x,omitempty"`
}

// Record holds what is known of a request. Records of the same request from several nodes are
// merged: the result has the crashes of all of them, a crash is cleared if it is in any, and
// Answering only if it is in all. The JSON names are short because nodes send records to each
// other in datagrams.
type Record struct {
	Fingerprint Fingerprint `json:"f"`
	// Crashes are sorted by worker.
	Crashes []Crash `json:"c"`
	// Quarantined is the result of the sending node's evaluation. The receiving node evaluates
	// the record itself, but uses Quarantined to tell which of two requests was quarantined
	// first, if each explains the other's crashes.
	Quarantined bool `json:"q,omitempty"`
}

// Sorted returns a copy of a record from elsewhere with its crashes sorted.
func (r Record) Sorted() Record {
	crashes := slices.Clone(r.Crashes)
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Worker, b.Worker) })
	return Record{Fingerprint: r.Fingerprint, Crashes: crashes[:min(len(crashes), maxCrashes)], Quarantined: r.Quarantined}
}

// CountedCrashes returns the number of crashes that aren't cleared.
func (r Record) CountedCrashes() int {
	count := 0
	for _, crash := range r.Crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

// covers reports whether merging other into r would change nothing.
func (r Record) covers(other Record) bool {
	for _, crash := range other.Crashes {
		at, found := r.find(crash.Worker)
		if !found || crash.Cleared && !r.Crashes[at].Cleared || !crash.Answering && r.Crashes[at].Answering {
			return false
		}
	}
	return true
}

func (r Record) find(worker string) (at int, found bool) {
	return slices.BinarySearchFunc(r.Crashes, worker, func(c Crash, worker string) int { return cmp.Compare(c.Worker, worker) })
}

// Status tells whether a request may be sent to a worker now.
type Status struct {
	// Crashes is the number of crashes that count against the request.
	Crashes int
	// PartCrashes is the most crashes that count against one of the request's parts.
	PartCrashes int
	// Quarantined requests must not be sent to any worker. Cause is the fingerprint for which
	// the request is quarantined: its own, or the first of the parts.
	Quarantined bool
	Cause       Fingerprint
	// Trial means that the request is let through although it is quarantined.
	Trial bool
	// TrialDue means that the request may run once to see whether it still crashes its worker.
	// Left is the time until the next trial is due, or until the quarantine ends.
	TrialDue bool
	Left     time.Duration
	// Settling is how long the request has to wait because its last crash is so recent that
	// reports from other nodes may still be on their way. Only then is it known which other
	// requests were running on the crashed worker.
	Settling time.Duration
}

// entry is a record with the state that only this node has for it.
type entry struct {
	Record
	// changedAt is when the record last changed here, and lastCrashAt when a crash was last
	// added.
	changedAt, lastCrashAt time.Time
	// bursts counts the bursts in which the crashes of a part came, and burstAt is when the last
	// one began.
	bursts  int
	burstAt time.Time
	// stored is the record as the store is known to hold it, nil if it holds none, and
	// storedVersion the version of the store that wrote it.
	stored        *Record
	storedVersion uint64
}

// Detector holds the crashes that a node knows of and finds the requests that cause them. It
// does no I/O and takes the time as an argument.
type Detector struct {
	entries map[Fingerprint]*entry
	// byWorker holds the requests that were running on each crashed worker.
	byWorker map[string][]Fingerprint
	// candidates are the entries with minCrashes or more counted crashes. They are few, even
	// after the loss of a rack, which makes thousands of requests suspected.
	candidates map[Fingerprint]*entry
	// lastQuarantined are the requests and parts that the last evaluation quarantined.
	lastQuarantined map[Fingerprint]bool
	// groups are the parts that the last evaluation quarantined. A request is refused if it has
	// all parts of a group.
	groups [][]Fingerprint
	// completions are the completed runs of parts that this node has seen.
	completions completions
}

// NewDetector returns a detector that knows of no crashes.
func NewDetector() *Detector {
	return &Detector{
		entries: make(map[Fingerprint]*entry), byWorker: make(map[string][]Fingerprint), candidates: make(map[Fingerprint]*entry),
	}
}

// Status returns the status of a request whose prompt has these parts.
func (d *Detector) Status(request Fingerprint, now time.Time, parts ...Fingerprint) Status {
	status := Status{PartCrashes: d.partCrashes(parts)}
	if group := d.quarantinedGroup(parts); group != nil {
		return d.partStatus(group, status, now)
	}
	known, exists := d.entries[request]
	if !exists {
		return status
	}
	status.Crashes = known.CountedCrashes()
	if settling := known.settling(now); settling > 0 && status.Crashes >= minCrashes {
		status.Settling = settling
		return status
	}
	if known.Quarantined {
		status.quarantine(known, now)
	}
	return status
}

// partStatus completes the status of a request that has all parts of a quarantined group.
func (d *Detector) partStatus(group []Fingerprint, status Status, now time.Time) Status {
	known := d.entries[group[0]]
	if status.Settling = max(known.settling(now), 0); status.Settling == 0 {
		status.quarantine(known, now)
	}
	return status
}

// quarantine sets the fields of a request that is quarantined for an entry.
func (s *Status) quarantine(known *entry, now time.Time) {
	s.Quarantined, s.Cause, s.Left = true, known.Fingerprint, known.untilTrial(now)
	s.TrialDue = s.Left <= 0
}

// settling returns the time until reports of the last crash have arrived from all nodes.
func (e *entry) settling(now time.Time) time.Duration { return settlePeriod - now.Sub(e.lastCrashAt) }

// untilTrial returns the time until a trial is due, or until the quarantine ends.
func (e *entry) untilTrial(now time.Time) time.Duration {
	span, first := quarantinedFor, minCrashes
	if e.Fingerprint.IsPart() {
		first = minPartCrashes
	}
	if next := max(e.CountedCrashes()-first, 0); next < len(trialDelays) {
		span = trialDelays[next]
	}
	return span - now.Sub(e.lastCrashAt)
}

// Crashed records the crash of a worker and the requests that it was running. It returns the
// records that have changed.
func (d *Detector) Crashed(crash Crash, ran []Fingerprint, now time.Time) []Record {
	var records []Record
	for _, request := range ran {
		records = append(records, Record{Fingerprint: request, Crashes: []Crash{crash}})
	}
	return d.Merge(records, now)
}

// Merge merges records from elsewhere into the known ones. It returns the records that have
// changed.
func (d *Detector) Merge(records []Record, now time.Time) []Record {
	var changed []Record
	for _, record := range records {
		known, exists := d.entries[record.Fingerprint]
		if len(record.Crashes) == 0 || exists && known.covers(record) && !known.learnsQuarantine(record) {
			continue
		}
		changed = append(changed, d.mergeRecord(record, now))
	}
	return changed
}

// learnsQuarantine reports whether a record tells that another node has quarantined a part that this
// one hasn't: crashes that are reported together look like a single burst.
func (e *entry) learnsQuarantine(record Record) bool {
	return record.Fingerprint.IsPart() && record.Quarantined && !e.Quarantined
}

// mergeRecord adds the crashes of a record to the entry of its request.
func (d *Detector) mergeRecord(record Record, now time.Time) Record {
	known := d.entry(record.Fingerprint)
	for _, crash := range record.Crashes {
		at, found := known.find(crash.Worker)
		switch {
		case found:
			known.Crashes[at].Cleared = known.Crashes[at].Cleared || crash.Cleared
			known.Crashes[at].Answering = known.Crashes[at].Answering && crash.Answering
		default:
			known.Crashes = slices.Insert(known.Crashes, at, crash)
			known.lastCrashAt = now
			known.countBurst(now)
			d.byWorker[crash.Worker] = append(d.byWorker[crash.Worker], record.Fingerprint)
		}
	}
	d.trim(known)
	known.Quarantined = known.Quarantined || record.Quarantined
	known.changedAt = now
	d.updateCandidate(known)
	return known.clone()
}

// updateCandidate keeps candidates up to date.
func (d *Detector) updateCandidate(known *entry) {
	if known.CountedCrashes() >= minCrashes {
		d.candidates[known.Fingerprint] = known
		return
	}
	delete(d.candidates, known.Fingerprint)
	known.Quarantined = false
}

// clone returns a copy of the entry's record.
func (e *entry) clone() Record {
	return Record{Fingerprint: e.Fingerprint, Crashes: slices.Clone(e.Crashes), Quarantined: e.Quarantined}
}

func (d *Detector) entry(request Fingerprint) *entry {
	known, exists := d.entries[request]
	if !exists {
		d.evict()
		known = &entry{Record: Record{Fingerprint: request}}
		d.entries[request] = known
	}
	return known
}

// evict removes an eighth of the entries if there are too many: those with the fewest crashes,
// and among these the ones that have not changed for the longest time.
func (d *Detector) evict() {
	if len(d.entries) < maxRecords {
		return
	}
	inOrder := slices.SortedFunc(maps.Values(d.entries), compareEvictionOrder)
	for _, known := range inOrder[:maxRecords/8] {
		d.remove(known)
	}
}

func compareEvictionOrder(left, right *entry) int {
	switch {
	case left.Quarantined && !right.Quarantined:
		return 1
	case right.Quarantined && !left.Quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(left.CountedCrashes(), right.CountedCrashes()), left.changedAt.Compare(right.changedAt))
}

func (d *Detector) remove(known *entry) {
	for _, crash := range known.Crashes {
		d.unlink(known.Fingerprint, crash.Worker)
	}
	delete(d.entries, known.Fingerprint)
	delete(d.candidates, known.Fingerprint)
	d.groups = slices.DeleteFunc(d.groups, func(group []Fingerprint) bool { return slices.Contains(group, known.Fingerprint) })
}

func (d *Detector) unlink(request Fingerprint, worker string) {
	left := slices.DeleteFunc(d.byWorker[worker], func(other Fingerprint) bool { return other == request })
	if len(left) == 0 {
		delete(d.byWorker, worker)
		return
	}
	d.byWorker[worker] = left
}

// trim removes crashes of a request that has more than maxCrashes, cleared ones first.
func (d *Detector) trim(known *entry) {
	for len(known.Crashes) > maxCrashes {
		at := max(slices.IndexFunc(known.Crashes, func(c Crash) bool { return c.Cleared }), 0)
		d.unlink(known.Fingerprint, known.Crashes[at].Worker)
		known.Crashes = slices.Delete(known.Crashes, at, at+1)
	}
}

// Clear records that a request caused none of its crashes so far, because a worker ran it to
// completion and is alive, or because an operator says so. It returns the record, and false if
// nothing has changed.
func (d *Detector) Clear(request Fingerprint, now time.Time) (Record, bool) {
	known, exists := d.entries[request]
	if !exists || known.CountedCrashes() == 0 {
		return Record{}, false
	}
	for at := range known.Crashes {
		known.Crashes[at].Cleared = true
	}
	known.changedAt = now
	d.updateCandidate(known)
	return known.clone(), true
}

// Release releases a request that an operator has cleared. The crashes that it explained no
// longer count against any request, so those that ran beside it are released as well.
func (d *Detector) Release(request Fingerprint, now time.Time) []Record {
	known, exists := d.entries[request]
	if !exists {
		return nil
	}
	var changed []Record
	for _, crash := range known.clone().Crashes {
		if !crash.Cleared {
			changed = append(changed, d.ClearWorker(crash.Worker, now)...)
		}
	}
	return changed
}

// ClearWorker clears a worker's crash for all requests, because the worker is alive or its end
// has been explained. It returns the records that have changed.
func (d *Detector) ClearWorker(worker string, now time.Time) []Record {
	var records []Record
	for _, request := range d.byWorker[worker] {
		records = append(records, Record{Fingerprint: request, Crashes: []Crash{{Worker: worker, Cleared: true}}})
	}
	return d.Merge(records, now)
}

// Expire removes old entries, and returns the records among them that are in the store.
func (d *Detector) Expire(now time.Time) []Record {
	var stored []Record
	for _, known := range d.entries {
		life := suspectedFor
		if known.Quarantined {
			life = quarantinedFor
		}
		if now.Sub(known.changedAt) < life {
			continue
		}
		if known.stored != nil {
			stored = append(stored, known.clone())
		}
		d.remove(known)
	}
	return stored
}

// PartCount returns the number of quarantined parts.
func (d *Detector) PartCount() int {
	count := 0
	for _, group := range d.groups {
		count += len(group)
	}
	return count
}

// Counts returns the numbers of suspected and of quarantined requests. Suspected are those with
// at least one uncleared crash that aren't quarantined, even if a quarantined request was
// present at that crash.
func (d *Detector) Counts() (suspected, quarantined int) {
	for _, known := range d.entries {
		switch {
		case known.Fingerprint.IsPart():
		case known.Quarantined:
			quarantined++
		case known.CountedCrashes() > 0:
			suspected++
		}
	}
	return suspected, quarantined
}
