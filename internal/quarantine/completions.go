package quarantine

import "time"

const (
	// completionPeriod is the least time for which a completed run is remembered; it is
	// forgotten after twice that.
	completionPeriod = 30 * time.Second
	// maxCompletions bounds the completed runs that outweigh later crashes of a part, so that a
	// part which all requests have, and which begins to crash workers, is still found.
	maxCompletions = 3
	// maxCompletedParts bounds the parts of one period.
	maxCompletedParts = 4096
)

// completions counts the recent completed runs of parts, in two periods. The zero value counts
// none.
type completions struct {
	began             time.Time
	current, previous map[Fingerprint]int
}

// add counts a completed run.
func (c *completions) add(part Fingerprint, now time.Time) {
	c.rotate(now, len(c.current) >= maxCompletedParts)
	if c.current[part] < maxCompletions {
		c.current[part]++
	}
}

// take uses up a completed run of a part. It returns false if there is none.
func (c *completions) take(part Fingerprint, now time.Time) bool {
	c.rotate(now, false)
	for _, counts := range []map[Fingerprint]int{c.previous, c.current} {
		if counts[part] > 0 {
			counts[part]--
			return true
		}
	}
	return false
}

// rotate begins a new period if the current one is over or full.
func (c *completions) rotate(now time.Time, full bool) {
	elapsed := now.Sub(c.began)
	if c.current != nil && !full && elapsed < completionPeriod {
		return
	}
	c.previous = c.current
	if elapsed >= 2*completionPeriod {
		c.previous = nil
	}
	c.began, c.current = now, make(map[Fingerprint]int)
}
