// Package usage counts the requests that each tenant started, in windows of wall-clock time,
// and reports each window once. Every node counts its own requests in a Tally. A few nodes, the
// supervisors, collect the tallies of all nodes in a Collector, and one of them reports the
// windows as the Reporter. docs/design/usage.md describes how all reports of a window have the
// same counts: the counts are recorded in the store before they are reported.
package usage

import (
	"math"
	"time"
)

// Window is the number of a window. Window k begins k times the window length after the start
// of 1970 (Unix time zero).
type Window int64

// WindowLength is the length of all windows. It must be positive.
type WindowLength time.Duration

// WindowAt returns the window that contains a moment.
func (s WindowLength) WindowAt(moment time.Time) Window {
	return Window(math.Floor(float64(moment.UnixNano()) / float64(s)))
}

// End returns the time at which a window ends.
func (s WindowLength) End(window Window) time.Time { return time.Unix(0, int64(window+1)*int64(s)) }

const (
	// jumpThreshold is the difference between wall clock and monotonic clock that counts as a
	// jump of the wall clock. It is far above what clock adjustments cause between two
	// readings.
	jumpThreshold = 150 * time.Millisecond
	// trustAfter is how long the wall clock must keep its new time after a jump before it is
	// trusted. Most clocks that jump return to the old time.
	trustAfter = 30 * time.Second
)

// Clock derives the time of day from the monotonic clock, so that a wall clock that jumps and
// returns doesn't move requests to other windows. It does no I/O.
type Clock struct {
	started bool
	// base is a reading of the monotonic clock, and wallBase the time of day at that moment.
	base, wallBase time.Time
	// jumpedAt is the monotonic time of the wall clock's jump, zero if it hasn't jumped.
	jumpedAt time.Time
}

// Now returns the time of day. moment must have both a wall clock and a monotonic clock
// reading, as time.Now returns it.
func (c *Clock) Now(moment time.Time) time.Time { return c.timeOfDay(moment, moment.Round(0)) }

// timeOfDay is Now with the two clock readings given separately.
func (c *Clock) timeOfDay(steady, wall time.Time) time.Time {
	if !c.started {
		c.started, c.base, c.wallBase = true, steady, wall
		return wall
	}
	kept := c.wallBase.Add(steady.Sub(c.base))
	if off := wall.Sub(kept); off.Abs() < jumpThreshold {
		c.jumpedAt = time.Time{}
		c.base, c.wallBase = steady, wall
		return wall
	}
	if c.jumpedAt.IsZero() {
		c.jumpedAt = steady
	}
	if steady.Sub(c.jumpedAt) >= trustAfter {
		c.jumpedAt = time.Time{}
		c.base, c.wallBase = steady, wall
		return wall
	}
	return kept
}
