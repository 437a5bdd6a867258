package quarantine

import "slices"

// Changes tells what a new judgement has changed.
type Changes struct {
	Quarantined, Released []Record
}

// Evaluate works out anew which requests are quarantined, from what is known now: a report that
// comes late may show that another request explains the same crashes.
//
// A worker that ends takes all that it runs along, so that one crash says little of any of
// these requests, and those that ran beside each other may be sent on together to the next
// worker. So a request is quarantined only where three workers have ended under it, without
// a piece of an answer, since it last ran to an end, and no other request that is still
// suspected was at all of these ends. What a quarantined request was at counts against no
// other. All nodes that know the same crashes judge alike.
//
// What was quarantined before stays so while that still holds, whatever else is suspected
// by now: of two requests that explain each other's crashes, the one that was proved first.
func (d *Detector) Evaluate() Changes {
	before := make(map[Fingerprint]bool)
	for request, known := range d.candidates {
		before[request] = known.Quarantined
		known.Quarantined = false
	}
	count := d.quarantine(maxQuarantined, func(known *entry) bool { return before[known.Fingerprint] })
	d.quarantine(maxQuarantined-count, func(*entry) bool { return true })
	return d.compareWithLast()
}

// quarantine quarantines requests of some kind, up to a number, the worst first. It returns
// how many.
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

// changes compares the judgement with the one before.
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

// worst returns the request of some kind with the most unexplained crashes, of those that
// are to be quarantined and aren't yet, nil where there is none.
func (d *Detector) worst(matches func(known *entry) bool) *entry {
	var worst *entry
	most := 0
	for _, known := range d.candidates {
		if known.Quarantined || !matches(known) {
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

// blame returns the crashes that count against a request: those that no quarantined request
// was at.
func (d *Detector) blamedCrashes(known *entry) []Crash {
	var blamed []Crash
	for _, crash := range known.Crashes {
		if !crash.Cleared && !d.isExplained(crash.Worker) {
			blamed = append(blamed, crash)
		}
	}
	return blamed
}

// isExplained reports whether a quarantined request was at a worker's end.
func (d *Detector) isExplained(worker string) bool {
	return slices.ContainsFunc(d.byWorker[worker], func(request Fingerprint) bool {
		other := d.entries[request]
		return other.Quarantined && other.countsAgainst(worker)
	})
}

// counts reports whether a worker's end counts against a request.
func (e *entry) countsAgainst(worker string) bool {
	at, found := e.find(worker)
	return found && !e.Crashes[at].Cleared
}

// isProved reports whether the crashes that count against a request are enough.
func (d *Detector) hasEnoughEvidence(known *entry, blamed []Crash) bool {
	if len(blamed) >= conclusiveCrashes {
		return true
	}
	return unanswered(blamed) >= minCrashes && !sameAddress(blamed) && !d.hasEqualSuspect(known, blamed)
}

// unanswered counts the crashes of workers that had not begun to answer.
func unanswered(crashes []Crash) int {
	count := 0
	for _, crash := range crashes {
		if !crash.Answering {
			count++
		}
	}
	return count
}

// sameAddress reports whether all crashes were at one address: the machine there may be at
// fault.
func sameAddress(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return c.Address != crashes[0].Address })
}

// hasRival reports whether another request that is still suspected was at all these
// crashes.
func (d *Detector) hasEqualSuspect(known *entry, blamed []Crash) bool {
	return slices.ContainsFunc(d.byWorker[blamed[0].Worker], func(request Fingerprint) bool {
		other := d.entries[request]
		if other == known || other.Quarantined {
			return false
		}
		return !slices.ContainsFunc(blamed, func(c Crash) bool { return !other.countsAgainst(c.Worker) })
	})
}
