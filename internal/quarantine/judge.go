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
func (b *Detector) Evaluate() Changes {
	before := make(map[Fingerprint]bool)
	for request, known := range b.grave {
		before[request] = known.Quarantined
		known.Quarantined = false
	}
	count := b.quarantine(maxQuarantined, func(known *entry) bool { return before[known.Fingerprint] })
	b.quarantine(maxQuarantined-count, func(*entry) bool { return true })
	return b.changes()
}

// quarantine quarantines requests of some kind, up to a number, the worst first. It returns
// how many.
func (b *Detector) quarantine(most int, of func(known *entry) bool) int {
	for count := range most {
		worst := b.worst(of)
		if worst == nil {
			return count
		}
		worst.Quarantined = true
	}
	return most
}

// changes compares the judgement with the one before.
func (b *Detector) changes() Changes {
	var judgement Changes
	judged := make(map[Fingerprint]bool)
	for request, known := range b.grave {
		if !known.Quarantined {
			continue
		}
		judged[request] = true
		if !b.judged[request] {
			judgement.Quarantined = append(judgement.Quarantined, known.copied())
		}
	}
	for request := range b.judged {
		if known, exists := b.entries[request]; exists && !judged[request] {
			judgement.Released = append(judgement.Released, known.copied())
		}
	}
	b.judged = judged
	return judgement
}

// worst returns the request of some kind with the most unexplained crashes, of those that
// are to be quarantined and aren't yet, nil where there is none.
func (b *Detector) worst(of func(known *entry) bool) *entry {
	var worst *entry
	most := 0
	for _, known := range b.grave {
		if known.Quarantined || !of(known) {
			continue
		}
		blame := b.blame(known)
		if !b.isProved(known, blame) {
			continue
		}
		if len(blame) > most || len(blame) == most && known.Fingerprint.less(worst.Fingerprint) {
			worst, most = known, len(blame)
		}
	}
	return worst
}

// blame returns the crashes that count against a request: those that no quarantined request
// was at.
func (b *Detector) blame(known *entry) []Crash {
	var blame []Crash
	for _, crash := range known.Crashes {
		if !crash.Cleared && !b.isExplained(crash.Worker) {
			blame = append(blame, crash)
		}
	}
	return blame
}

// isExplained reports whether a quarantined request was at a worker's end.
func (b *Detector) isExplained(worker string) bool {
	return slices.ContainsFunc(b.byWorker[worker], func(request Fingerprint) bool {
		other := b.entries[request]
		return other.Quarantined && other.counts(worker)
	})
}

// counts reports whether a worker's end counts against a request.
func (e *entry) counts(worker string) bool {
	at, found := e.find(worker)
	return found && !e.Crashes[at].Cleared
}

// isProved reports whether the crashes that count against a request are enough.
func (b *Detector) isProved(known *entry, blame []Crash) bool {
	if len(blame) >= certainCrashes {
		return true
	}
	return unanswered(blame) >= enoughCrashes && !sameAddress(blame) && !b.hasRival(known, blame)
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
func (b *Detector) hasRival(known *entry, blame []Crash) bool {
	return slices.ContainsFunc(b.byWorker[blame[0].Worker], func(request Fingerprint) bool {
		other := b.entries[request]
		if other == known || other.Quarantined {
			return false
		}
		return !slices.ContainsFunc(blame, func(c Crash) bool { return !other.counts(c.Worker) })
	})
}
