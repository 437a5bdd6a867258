package quarantine

import (
	"slices"
	"time"
)

// Parameters for the parts of prompts.
const (
	// minPartCrashes is the number of crashes for which a part must be suspected to be
	// quarantined. Many requests share a part, so that it is at more crashes by chance than a
	// request is.
	minPartCrashes = 5
	// minBursts is the number of bursts in which these crashes must have come, and burstPeriod
	// the length of a burst. When a rack fails, its workers crash in one burst, and whatever
	// ran on all of them looks guilty.
	minBursts   = 3
	burstPeriod = 100 * time.Millisecond
)

// Completed records that a worker ran a request with these parts to completion. A completed
// run outweighs one crash, an earlier or a later one: a part that is bad may survive a run now
// and then, and a sound one may run beside a bad one again and again. It returns the records
// that have changed.
func (d *Detector) Completed(parts []Fingerprint, now time.Time) []Record {
	var changed []Record
	for _, part := range parts {
		known, exists := d.entries[part]
		if !exists || !known.clearOne() {
			d.completions.add(part, now)
			continue
		}
		changed = append(changed, d.updated(known, now))
	}
	return changed
}

// clearOne clears one crash, the same one at each node. It returns false if none counts.
func (e *entry) clearOne() bool {
	at := slices.IndexFunc(e.Crashes, func(c Crash) bool { return !c.Cleared })
	if at < 0 {
		return false
	}
	e.Crashes[at].Cleared = true
	return true
}

// updated returns the record of an entry of which crashes were cleared.
func (d *Detector) updated(known *entry, now time.Time) Record {
	known.changedAt = now
	if known.CountedCrashes() == 0 {
		known.bursts = 0
	}
	d.updateCandidate(known)
	return known.clone()
}

// Outweighed reports whether a completed run outweighs a crash at which a part was present, and
// uses up the run.
func (d *Detector) Outweighed(part Fingerprint, now time.Time) bool {
	return part.IsPart() && d.completions.take(part, now)
}

// Outweigh clears crashes in records that have just been merged, as far as this node has seen
// completed runs of their parts. It returns the records that have changed.
func (d *Detector) Outweigh(records []Record, now time.Time) []Record {
	var changed []Record
	for _, record := range records {
		known, exists := d.entries[record.Fingerprint]
		if !exists || !record.Fingerprint.IsPart() {
			continue
		}
		before := known.CountedCrashes()
		for known.CountedCrashes() > 0 && d.completions.take(record.Fingerprint, now) {
			known.clearOne()
		}
		if known.CountedCrashes() < before {
			changed = append(changed, d.updated(known, now))
		}
	}
	return changed
}

// countBurst records that a crash was added to an entry.
func (e *entry) countBurst(now time.Time) {
	if e.bursts > 0 && now.Sub(e.burstAt) < burstPeriod {
		return
	}
	e.bursts++
	e.burstAt = now
}

// quarantineParts quarantines up to limit groups of parts, those with the most crashes first. It
// returns their number. Parts that were present at the same crashes form a group: requests
// that have all of them are refused, until a request that has only some of them tells them
// apart.
func (d *Detector) quarantineParts(limit int, wasQuarantined map[Fingerprint]bool) int {
	d.groups = nil
	for len(d.groups) < limit {
		group := d.worstParts(wasQuarantined)
		if len(group) == 0 {
			break
		}
		d.groups = append(d.groups, group)
	}
	return len(d.groups)
}

// worstParts quarantines the parts with the most unexplained crashes that meet the conditions.
// It returns them in order, nil if there are none.
func (d *Detector) worstParts(wasQuarantined map[Fingerprint]bool) []Fingerprint {
	var group []*entry
	var most []string
	for _, known := range d.candidates {
		if !known.Fingerprint.IsPart() || known.Quarantined {
			continue
		}
		blamed := d.blamedCrashes(known)
		if len(blamed) < max(minPartCrashes, len(most)) {
			continue
		}
		if !wasQuarantined[known.Fingerprint] && known.bursts < minBursts || d.isOneRequest(blamed) {
			continue
		}
		workers := workersOf(blamed)
		switch order := compareBlame(workers, most); {
		case order > 0:
			group, most = []*entry{known}, workers
		case order == 0:
			group = append(group, known)
		}
	}
	members := make([]Fingerprint, 0, len(group))
	for _, known := range group {
		known.Quarantined = true
		members = append(members, known.Fingerprint)
	}
	slices.SortFunc(members, Fingerprint.compare)
	return members
}

// compareBlame orders the workers of two sets of crashes: by their number, and among as many in
// a fixed order, so that all nodes choose the same set.
func compareBlame(left, right []string) int {
	if len(left) != len(right) {
		return len(left) - len(right)
	}
	return -slices.Compare(left, right)
}

// workersOf returns the workers of crashes, which are in order.
func workersOf(crashes []Crash) []string {
	workers := make([]string, len(crashes))
	for at, crash := range crashes {
		workers[at] = crash.Worker
	}
	return workers
}

// isOneRequest reports whether a single request was present at all of these crashes. Then the
// request itself is suspected, and nothing tells that any part of it crashes workers in other
// requests.
func (d *Detector) isOneRequest(crashes []Crash) bool {
	return slices.ContainsFunc(d.byWorker[crashes[0].Worker], func(other Fingerprint) bool {
		if other.IsPart() {
			return false
		}
		known := d.entries[other]
		return !slices.ContainsFunc(crashes, func(c Crash) bool { return !known.countsAgainst(c.Worker) })
	})
}

// quarantinedGroup returns the quarantined parts for which a request with these parts is
// refused, nil if there are none.
func (d *Detector) quarantinedGroup(parts []Fingerprint) []Fingerprint {
	for _, group := range d.groups {
		missing := func(member Fingerprint) bool { return !slices.Contains(parts, member) }
		if !slices.ContainsFunc(group, missing) {
			return group
		}
	}
	return nil
}

// partCrashes returns the most crashes that count against one of the parts.
func (d *Detector) partCrashes(parts []Fingerprint) int {
	most := 0
	for _, part := range parts {
		if known, exists := d.entries[part]; exists {
			most = max(most, known.CountedCrashes())
		}
	}
	return most
}
