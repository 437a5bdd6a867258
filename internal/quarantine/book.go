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
	enoughCrashes = 3
	// certainCrashes is the number of ends from which it is quarantined though another
	// request was at each of them too, or all were at one address, or the answer had begun:
	// the promise is that it reaches three more workers after the third at most.
	certainCrashes = 5
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
	settleTime = 60 * time.Millisecond
)

// trialAfter is for how long after its last crash a quarantined request is given to no
// worker, by the crashes that it has above enoughCrashes: longer than workers take to be
// back, and than an operator takes to go back to a version of them that bears it. Then one
// run shows whether it is borne. Each costs a worker where it isn't, so there are no more
// than the three that the promise leaves.
var trialAfter = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

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
	changed, crashed time.Time
	// stored is what the store is known to hold of it, nil where it holds nothing, and storedAt
	// the store's version that wrote it.
	stored   *Record
	storedAt uint64
}

// Detector holds what a node knows of requests under which workers ended. It is pure: time is
// an argument.
type Detector struct {
	entries map[Fingerprint]*entry
	// byWorker holds the requests that ran at a worker when it ended.
	byWorker map[string][]Fingerprint
	// grave are those with enoughCrashes or more: few, even where a rack's loss has made
	// thousands suspected.
	grave map[Fingerprint]*entry
	// judged are those that the last judgement has quarantined.
	judged map[Fingerprint]bool
}

// NewDetector returns an empty book.
func NewDetector() *Detector {
	return &Detector{
		entries: make(map[Fingerprint]*entry), byWorker: make(map[string][]Fingerprint), grave: make(map[Fingerprint]*entry),
	}
}

// Status tells how a request is to be treated.
func (b *Detector) Status(request Fingerprint, now time.Time) Status {
	known, exists := b.entries[request]
	if !exists {
		return Status{}
	}
	standing := Status{Crashes: known.CountedCrashes()}
	if settling := settleTime - now.Sub(known.crashed); settling > 0 && standing.Crashes >= enoughCrashes {
		standing.Settling = settling
		return standing
	}
	if known.Quarantined {
		standing.Quarantined, standing.Left = true, known.untilTrial(now)
		standing.TrialDue = standing.Left <= 0
	}
	return standing
}

// untilTrial is the time until a trial is due, or until the request is let go.
func (e *entry) untilTrial(now time.Time) time.Duration {
	span := quarantinedFor
	if next := max(e.CountedCrashes()-enoughCrashes, 0); next < len(trialAfter) {
		span = trialAfter[next]
	}
	return span - now.Sub(e.crashed)
}

// Crashed records that a worker ended that ran these requests. It returns the records that
// have changed.
func (b *Detector) Crashed(crash Crash, ran []Fingerprint, now time.Time) []Record {
	var told []Record
	for _, request := range ran {
		told = append(told, Record{Fingerprint: request, Crashes: []Crash{crash}})
	}
	return b.Merge(told, now)
}

// Merge joins records from elsewhere with those known. It returns the ones that have
// changed.
func (b *Detector) Merge(told []Record, now time.Time) []Record {
	var changed []Record
	for _, record := range told {
		if known, exists := b.entries[record.Fingerprint]; exists && known.covers(record) {
			continue
		}
		changed = append(changed, b.join(record, now))
	}
	return changed
}

// join adds what a record tells.
func (b *Detector) join(told Record, now time.Time) Record {
	known := b.entry(told.Fingerprint)
	for _, crash := range told.Crashes {
		at, found := known.find(crash.Worker)
		switch {
		case found:
			known.Crashes[at].Cleared = known.Crashes[at].Cleared || crash.Cleared
			known.Crashes[at].Answering = known.Crashes[at].Answering && crash.Answering
		default:
			known.Crashes = slices.Insert(known.Crashes, at, crash)
			known.crashed = now
			b.byWorker[crash.Worker] = append(b.byWorker[crash.Worker], told.Fingerprint)
		}
	}
	b.trim(known)
	known.Quarantined = known.Quarantined || told.Quarantined
	known.changed = now
	b.weigh(known)
	return known.copied()
}

// weigh keeps grave up to date.
func (b *Detector) weigh(known *entry) {
	if known.CountedCrashes() >= enoughCrashes {
		b.grave[known.Fingerprint] = known
		return
	}
	delete(b.grave, known.Fingerprint)
	known.Quarantined = false
}

// copied returns a record that shares nothing with the entry.
func (e *entry) copied() Record {
	return Record{Fingerprint: e.Fingerprint, Crashes: slices.Clone(e.Crashes), Quarantined: e.Quarantined}
}

func (b *Detector) entry(request Fingerprint) *entry {
	known, exists := b.entries[request]
	if !exists {
		b.makeRoom()
		known = &entry{Record: Record{Fingerprint: request}}
		b.entries[request] = known
	}
	return known
}

// makeRoom forgets an eighth of the requests where there are too many: those with the fewest
// crashes, of these the ones that have not changed for longest.
func (b *Detector) makeRoom() {
	if len(b.entries) < maxRecords {
		return
	}
	byWorth := slices.SortedFunc(maps.Values(b.entries), compareWorth)
	for _, known := range byWorth[:maxRecords/8] {
		b.forget(known)
	}
}

func compareWorth(left, right *entry) int {
	switch {
	case left.Quarantined && !right.Quarantined:
		return 1
	case right.Quarantined && !left.Quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(left.CountedCrashes(), right.CountedCrashes()), left.changed.Compare(right.changed))
}

func (b *Detector) forget(known *entry) {
	for _, crash := range known.Crashes {
		b.unlink(known.Fingerprint, crash.Worker)
	}
	delete(b.entries, known.Fingerprint)
	delete(b.grave, known.Fingerprint)
}

func (b *Detector) unlink(request Fingerprint, worker string) {
	left := slices.DeleteFunc(b.byWorker[worker], func(other Fingerprint) bool { return other == request })
	if len(left) == 0 {
		delete(b.byWorker, worker)
		return
	}
	b.byWorker[worker] = left
}

// trim forgets crashes of a request that has too many, cleared ones first.
func (b *Detector) trim(known *entry) {
	for len(known.Crashes) > maxCrashes {
		at := max(slices.IndexFunc(known.Crashes, func(c Crash) bool { return c.Cleared }), 0)
		b.unlink(known.Fingerprint, known.Crashes[at].Worker)
		known.Crashes = slices.Delete(known.Crashes, at, at+1)
	}
}

// Clear records that none of a request's crashes so far is its doing: a worker ran it to
// an end and lives, or an operator says so. It returns the record, false where nothing has
// changed.
func (b *Detector) Clear(request Fingerprint, now time.Time) (Record, bool) {
	known, exists := b.entries[request]
	if !exists || known.CountedCrashes() == 0 {
		return Record{}, false
	}
	for at := range known.Crashes {
		known.Crashes[at].Cleared = true
	}
	known.changed = now
	b.weigh(known)
	return known.copied(), true
}

// Release lets a request go that an operator has cleared, and all that ran beside it: what
// it explained counts against no other.
func (b *Detector) Release(request Fingerprint, now time.Time) []Record {
	known, exists := b.entries[request]
	if !exists {
		return nil
	}
	var changed []Record
	for _, crash := range known.copied().Crashes {
		if !crash.Cleared {
			changed = append(changed, b.ClearWorker(crash.Worker, now)...)
		}
	}
	return changed
}

// ClearWorker has a worker's end count against nobody, since it lives or its end is explained. It
// returns the records that have changed.
func (b *Detector) ClearWorker(worker string, now time.Time) []Record {
	var told []Record
	for _, request := range b.byWorker[worker] {
		told = append(told, Record{Fingerprint: request, Crashes: []Crash{{Worker: worker, Cleared: true}}})
	}
	return b.Merge(told, now)
}

// Expire forgets what is old, and returns the records that were in the store.
func (b *Detector) Expire(now time.Time) []Record {
	var stored []Record
	for _, known := range b.entries {
		life := suspectedFor
		if known.Quarantined {
			life = quarantinedFor
		}
		if now.Sub(known.changed) < life {
			continue
		}
		if known.stored != nil {
			stored = append(stored, known.copied())
		}
		b.forget(known)
	}
	return stored
}

// Counts tells how many requests are suspected and how many quarantined.
func (b *Detector) Counts() (suspected, quarantined int) {
	for _, known := range b.entries {
		switch {
		case known.Quarantined:
			quarantined++
		case known.CountedCrashes() > 0:
			suspected++
		}
	}
	return suspected, quarantined
}
