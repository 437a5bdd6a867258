package quarantine

import "slices"

// Changes are the requests and parts that an evaluation has newly quarantined and released.
type Changes struct {
	Quarantined, Released []Record
}

// Evaluate decides anew which requests and parts are quarantined, by all that is known now: a
// late report may show that another request explains the same crashes.
//
// A worker that crashes takes all its requests along, so a single crash says little about any
// of them, and requests that ran side by side may be sent on together to the next worker. A
// request is therefore quarantined only if three workers have crashed before they began to
// answer it, since it last ran to completion, and no other suspected request was present at all
// of these crashes. A crash at which a quarantined request was present counts against no other
// request. All nodes that know the same crashes come to the same result.
//
// A part of prompts is quarantined, before any request is, if it was present at minPartCrashes
// crashes that completed runs of it don't outweigh, and no single request was present at all of
// them: a request that crashes workers by itself says nothing of others with the same parts.
//
// A request that was quarantined before stays so as long as these conditions hold, whatever
// else has become suspected meanwhile: of two requests that explain each other's crashes, the
// one that was quarantined first remains.
func (d *Detector) Evaluate() Changes {
	before := make(map[Fingerprint]bool)
	for request, known := range d.candidates {
		before[request] = known.Quarantined
		known.Quarantined = false
	}
	count := d.quarantineParts(maxQuarantined, before)
	count += d.quarantine(maxQuarantined-count, func(known *entry) bool { return before[known.Fingerprint] })
	d.quarantine(maxQuarantined-count, func(*entry) bool { return true })
	return d.compareWithLast()
}

// quarantine quarantines up to limit of the matching requests, those with the most unexplained
// crashes first. It returns their number.
func (d *Detector) quarantine(limit int, matches func(known *entry) bool) int {
	for count := range limit {
		worst := d.worst(matches)
		if worst == nil {
			return count
		}
		worst.Quarantined = true
	}
	return limit
}

// compareWithLast returns the differences to the last evaluation.
func (d *Detector) compareWithLast() Changes {
	var changes Changes
	nowQuarantined := make(map[Fingerprint]bool)
	for request, known := range d.candidates {
		if !known.Quarantined {
			continue
		}
		nowQuarantined[request] = true
		if !d.lastQuarantined[request] {
			changes.Quarantined = append(changes.Quarantined, known.clone())
		}
	}
	for request := range d.lastQuarantined {
		if known, exists := d.entries[request]; exists && !nowQuarantined[request] {
			changes.Released = append(changes.Released, known.clone())
		}
	}
	d.lastQuarantined = nowQuarantined
	return changes
}

// worst returns the matching request with the most unexplained crashes among those that meet
// the conditions and aren't quarantined yet, or nil.
func (d *Detector) worst(matches func(known *entry) bool) *entry {
	var worst *entry
	most := 0
	for _, known := range d.candidates {
		if known.Fingerprint.IsPart() || known.Quarantined || !matches(known) {
			continue
		}
		blamed := d.blamedCrashes(known)
		if !d.hasEnoughEvidence(known, blamed) {
			continue
		}
		if len(blamed) > most || len(blamed) == most && known.Fingerprint.less(worst.Fingerprint) {
			worst, most = known, len(blamed)
		}
	}
	return worst
}

// blamedCrashes returns the crashes that count against a request: those at which no quarantined
// request was present.
func (d *Detector) blamedCrashes(known *entry) []Crash {
	var blamed []Crash
	for _, crash := range known.Crashes {
		if !crash.Cleared && !d.isExplained(crash.Worker) {
			blamed = append(blamed, crash)
		}
	}
	return blamed
}

// isExplained reports whether a quarantined request or part was present at the crash of a worker.
func (d *Detector) isExplained(worker string) bool {
	return slices.ContainsFunc(d.byWorker[worker], func(request Fingerprint) bool {
		other := d.entries[request]
		return other.Quarantined && other.countsAgainst(worker)
	})
}

// countsAgainst reports whether the crash of a worker counts against a request.
func (e *entry) countsAgainst(worker string) bool {
	at, found := e.find(worker)
	return found && !e.Crashes[at].Cleared
}

// hasEnoughEvidence reports whether the crashes that count against a request suffice to
// quarantine it.
func (d *Detector) hasEnoughEvidence(known *entry, blamed []Crash) bool {
	if len(blamed) >= conclusiveCrashes {
		return true
	}
	return unanswered(blamed) >= minCrashes && !sameAddress(blamed) && !d.hasEqualSuspect(known, blamed)
}

// unanswered counts the crashes of workers that had not begun to answer the request.
func unanswered(crashes []Crash) int {
	count := 0
	for _, crash := range crashes {
		if !crash.Answering {
			count++
		}
	}
	return count
}

// sameAddress reports whether all crashes were at one address, where the machine may be at
// fault.
func sameAddress(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return c.Address != crashes[0].Address })
}

// hasEqualSuspect reports whether another suspected request was present at all of these
// crashes.
func (d *Detector) hasEqualSuspect(known *entry, blamed []Crash) bool {
	return slices.ContainsFunc(d.byWorker[blamed[0].Worker], func(request Fingerprint) bool {
		other := d.entries[request]
		if other == known || other.Quarantined || request.IsPart() {
			return false
		}
		return !slices.ContainsFunc(blamed, func(c Crash) bool { return !other.countsAgainst(c.Worker) })
	})
}
