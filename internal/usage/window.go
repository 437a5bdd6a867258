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
	// jump is the change of the time of day, against the steady clock, that counts as a
	// jump: far above what adjustments change between two looks.
	jump = 150 * time.Millisecond
	// settled is for how long the time of day must stay where it jumped to before it is
	// taken for true: clocks that jump return as a rule.
	settled = 30 * time.Second
)

// Clock tells the time of day from the steady clock, so that the time of day may jump and
// return without moving requests into other windows. It is pure.
type Clock struct {
	started bool
	// base is a moment of the steady clock, and trueBase the time of day then.
	base, trueBase time.Time
	// jumped is since when the time of day differs, zero while it doesn't.
	jumped time.Time
}

// Now returns the time of day. The argument has both readings of one moment, as
// time.Now returns it.
func (c *Clock) Now(moment time.Time) time.Time { return c.reading(moment, moment.Round(0)) }

// reading takes the two readings apart.
func (c *Clock) reading(steady, wall time.Time) time.Time {
	if !c.started {
		c.started, c.base, c.trueBase = true, steady, wall
		return wall
	}
	kept := c.trueBase.Add(steady.Sub(c.base))
	if off := wall.Sub(kept); off.Abs() < jump {
		c.jumped = time.Time{}
		c.base, c.trueBase = steady, wall
		return wall
	}
	if c.jumped.IsZero() {
		c.jumped = steady
	}
	if steady.Sub(c.jumped) >= settled {
		c.jumped = time.Time{}
		c.base, c.trueBase = steady, wall
		return wall
	}
	return kept
}
