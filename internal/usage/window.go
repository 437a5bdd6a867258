// Package usage counts the requests that tenants had begun, in windows of wall-clock
// time, and reports each window once. Each node counts its own in a Tally; a few nodes,
// the supervisors, gather the tallies of all in a Collector; the one of them that gives
// orders is the Reporter. docs/design/usage.md tells how a window keeps one truth.
package usage

import (
	"math"
	"time"
)

// Window is the number of a window: window k begins k times its length after 1970.
type Window int64

// WindowLength is the length of windows. It is above zero.
type WindowLength time.Duration

// WindowAt returns the window of a moment.
func (s WindowLength) WindowAt(moment time.Time) Window {
	return Window(math.Floor(float64(moment.UnixNano()) / float64(s)))
}

// End returns when a window ends.
func (s WindowLength) End(window Window) time.Time { return time.Unix(0, int64(window+1)*int64(s)) }

// The figures of a clock.
const (
	// jumpThreshold is the change of the time of day, against the steady clock, that counts as a
	// jumpThreshold: far above what adjustments change between two looks.
	jumpThreshold = 150 * time.Millisecond
	// trustAfter is for how long the time of day must stay where it jumped to before it is
	// taken for true: clocks that jump return as a rule.
	trustAfter = 30 * time.Second
)

// Clock tells the time of day from the steady clock, so that the time of day may jump and
// return without moving requests into other windows. It is pure.
type Clock struct {
	started bool
	// base is a moment of the steady clock, and wallBase the time of day then.
	base, wallBase time.Time
	// jumpedAt is since when the time of day differs, zero while it doesn't.
	jumpedAt time.Time
}

// Now returns the time of day. The argument has both readings of one moment, as
// time.Now returns it.
func (c *Clock) Now(moment time.Time) time.Time { return c.timeOfDay(moment, moment.Round(0)) }

// timeOfDay takes the two readings apart.
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
