package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The figures of the judgement.
const (
	// enoughCrashes is how many workers must have ended under a request, before they answered
	// it, for it to be quarantined where nothing else explains their ends. One or two happen
	// by chance: a worker that ends takes all that it runs along, and what ran beside is sent
	// on together.
	minCrashes = 3
	// certainCrashes is the number of ends from which it is quarantined though another
	// request was at each of them too, or all were at one address, or the answer had begun:
	// the promise is that it reaches three more workers after the third at most.
	conclusiveCrashes = 5
	// maxQuarantined bounds the requests that are quarantined at a time: where more seem to
	// crash their workers, the workers are at fault, and refusing all would end the service.
	maxQuarantined = 64
	// maxCrashes bounds the ends that are remembered of one request.
	maxCrashes = 16
	// maxRecords bounds the requests that are remembered, those with the fewest ends going
	// first: some hundred bytes each.
	maxRecords = 4096
	// suspectedFor is how long a request is remembered that isn't quarantined, and
	// quarantinedFor one that is: then it is given to workers again, and can end three.
	suspectedFor   = time.Hour
	quarantinedFor = 24 * time.Hour
	// settleTime is how long the nodes take at most to hear what each of them ran at a worker
	// that has ended: a look at it (lookPatience) and the way between two regions.
	settlePeriod = 60 * time.Millisecond
)

// trialAfter is for how long after its last crash a quarantined request is given to no
// worker, by the crashes that it has above enoughCrashes: longer than workers take to be
// back, and than an operator takes to go back to a version of them that bears it. Then one
// run shows whether it is borne. Each costs a worker where it isn't, so there are no more
// than the three that the promise leaves.
var trialDelays = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Crash is the end of a worker that ran a request.
type Crash struct {
	// Worker is its id, which none after it has, and Address where it was.
	Worker  string `json:"w"`
	Address string `json:"a"`
	// Answering tells that the worker had begun to answer the request.
	Answering bool `json:"o,omitempty"`
	// Cleared crashes are known not to be the request's doing.
	Cleared bool `json:"x,omitempty"`
}

// Record is what is known of a request. Records of the same request from several nodes are
// joined: the crashes are those of all, one is cleared that is cleared in any, and the
// worker was answering only where it was in all. Its names are
// short since nodes tell it to each other.
type Record struct {
	Fingerprint Fingerprint `json:"f"`
	// Crashes are ordered by worker.
	Crashes []Crash `json:"c"`
	// Quarantined is the judgement of the node that tells it. It gives way to one's own, but
	// decides which of two requests came first that explain each other's crashes.
	Quarantined bool `json:"q,omitempty"`
}

// Sorted returns a record that came from elsewhere with its crashes in order.
func (r Record) Sorted() Record {
	crashes := slices.Clone(r.Crashes)
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Worker, b.Worker) })
	return Record{Fingerprint: r.Fingerprint, Crashes: crashes[:min(len(crashes), maxCrashes)], Quarantined: r.Quarantined}
}

// CountedCrashes is the number of crashes that aren't cleared.
func (r Record) CountedCrashes() int {
	count := 0
	for _, crash := range r.Crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

// covers reports whether a record holds all crashes that another does, as it does.
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

// Status is how a request is to be treated.
type Status struct {
	// Crashes is the number of workers that ended under it and count.
	Crashes int
	// Quarantined requests are given to no worker.
	Quarantined bool
	// TrialDue tells that one run may show whether it still crashes its worker, and Left when
	// that is next so, or else the request is let go.
	TrialDue bool
	Left     time.Duration
	// Settling is for how long a request waits whose last crash is so young that others may
	// still be told of it: only then is it known what else was there.
	Settling time.Duration
}

// entry is a record with what only this node knows of it.
type entry struct {
	Record
	// changed is when the record last changed here, and crashed when a crash was added.
	changedAt, lastCrashAt time.Time
	// stored is what the store is known to hold of it, nil where it holds nothing, and storedAt
	// the store's version that wrote it.
	stored        *Record
	storedVersion uint64
}

// Detector holds what a node knows of requests under which workers ended. It is pure: time is
// an argument.
type Detector struct {
	entries map[Fingerprint]*entry
	// byWorker holds the requests that ran at a worker when it ended.
	byWorker map[string][]Fingerprint
	// grave are those with enoughCrashes or more: few, even where a rack's loss has made
	// thousands suspected.
	candidates map[Fingerprint]*entry
	// judged are those that the last judgement has quarantined.
	lastQuarantined map[Fingerprint]bool
}

// NewDetector returns an empty book.
func NewDetector() *Detector {
	return &Detector{
		entries: make(map[Fingerprint]*entry), byWorker: make(map[string][]Fingerprint), candidates: make(map[Fingerprint]*entry),
	}
}

// Status tells how a request is to be treated.
func (d *Detector) Status(request Fingerprint, now time.Time) Status {
	known, exists := d.entries[request]
	if !exists {
		return Status{}
	}
	status := Status{Crashes: known.CountedCrashes()}
	if settling := settlePeriod - now.Sub(known.lastCrashAt); settling > 0 && status.Crashes >= minCrashes {
		status.Settling = settling
		return status
	}
	if known.Quarantined {
		status.Quarantined, status.Left = true, known.untilTrial(now)
		status.TrialDue = status.Left <= 0
	}
	return status
}

// untilTrial is the time until a trial is due, or until the request is let go.
func (e *entry) untilTrial(now time.Time) time.Duration {
	span := quarantinedFor
	if next := max(e.CountedCrashes()-minCrashes, 0); next < len(trialDelays) {
		span = trialDelays[next]
	}
	return span - now.Sub(e.lastCrashAt)
}

// Crashed records that a worker ended that ran these requests. It returns the records that
// have changed.
func (d *Detector) Crashed(crash Crash, ran []Fingerprint, now time.Time) []Record {
	var records []Record
	for _, request := range ran {
		records = append(records, Record{Fingerprint: request, Crashes: []Crash{crash}})
	}
	return d.Merge(records, now)
}

// Merge joins records from elsewhere with those known. It returns the ones that have
// changed.
func (d *Detector) Merge(records []Record, now time.Time) []Record {
	var changed []Record
	for _, record := range records {
		if known, exists := d.entries[record.Fingerprint]; exists && known.covers(record) {
			continue
		}
		changed = append(changed, d.mergeRecord(record, now))
	}
	return changed
}

// join adds what a record tells.
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
			d.byWorker[crash.Worker] = append(d.byWorker[crash.Worker], record.Fingerprint)
		}
	}
	d.trim(known)
	known.Quarantined = known.Quarantined || record.Quarantined
	known.changedAt = now
	d.updateCandidate(known)
	return known.clone()
}

// weigh keeps grave up to date.
func (d *Detector) updateCandidate(known *entry) {
	if known.CountedCrashes() >= minCrashes {
		d.candidates[known.Fingerprint] = known
		return
	}
	delete(d.candidates, known.Fingerprint)
	known.Quarantined = false
}

// copied returns a record that shares nothing with the entry.
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

// makeRoom forgets an eighth of the requests where there are too many: those with the fewest
// crashes, of these the ones that have not changed for longest.
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
}

func (d *Detector) unlink(request Fingerprint, worker string) {
	left := slices.DeleteFunc(d.byWorker[worker], func(other Fingerprint) bool { return other == request })
	if len(left) == 0 {
		delete(d.byWorker, worker)
		return
	}
	d.byWorker[worker] = left
}

// trim forgets crashes of a request that has too many, cleared ones first.
func (d *Detector) trim(known *entry) {
	for len(known.Crashes) > maxCrashes {
		at := max(slices.IndexFunc(known.Crashes, func(c Crash) bool { return c.Cleared }), 0)
		d.unlink(known.Fingerprint, known.Crashes[at].Worker)
		known.Crashes = slices.Delete(known.Crashes, at, at+1)
	}
}

// Clear records that none of a request's crashes so far is its doing: a worker ran it to
// an end and lives, or an operator says so. It returns the record, false where nothing has
// changed.
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

// Release lets a request go that an operator has cleared, and all that ran beside it: what
// it explained counts against no other.
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

// ClearWorker has a worker's end count against nobody, since it lives or its end is explained. It
// returns the records that have changed.
func (d *Detector) ClearWorker(worker string, now time.Time) []Record {
	var records []Record
	for _, request := range d.byWorker[worker] {
		records = append(records, Record{Fingerprint: request, Crashes: []Crash{{Worker: worker, Cleared: true}}})
	}
	return d.Merge(records, now)
}

// Expire forgets what is old, and returns the records that were in the store.
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

// Counts tells how many requests are suspected and how many quarantined.
func (d *Detector) Counts() (suspected, quarantined int) {
	for _, known := range d.entries {
		switch {
		case known.Quarantined:
			quarantined++
		case known.CountedCrashes() > 0:
			suspected++
		}
	}
	return suspected, quarantined
}
