// Package clock reads a clock that keeps running while the machine is suspended
// (CLOCK_BOOTTIME). The monotonic clock (CLOCK_MONOTONIC) stops during a suspension, so that a
// process that resumes would take a grant of limited duration, such as a lease, to be younger
// than it is. The wall clock keeps running too, but may be set forward or back; no decision
// relies on it.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time of some clock. Only the difference between two times of the
// same clock is meaningful.
type Clock func() time.Time

// started is when this process started by the monotonic clock. epoch is the time that Boottime
// counts from: the wall-clock time of the machine's boot as seen at the start of the process,
// so that the times of Boottime are readable.
var (
	epoch   = epochNow()
	started = time.Now()
)

func epochNow() time.Time {
	since, err := readBoottime()
	if err != nil {
		return time.Now().Round(0)
	}
	return time.Now().Round(0).Add(-since)
}

// readBoottime reads CLOCK_BOOTTIME.
func readBoottime() (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return 0, err
	}
	return time.Duration(read.Nano()), nil
}

// Boottime returns the time by CLOCK_BOOTTIME, which includes the time for which the machine
// was suspended. Where that clock can't be read, it returns the time by the monotonic clock;
// BoottimeError returns the cause.
func Boottime() time.Time {
	since, err := readBoottime()
	if err != nil {
		since = time.Since(started)
	}
	return epoch.Add(since)
}

// BoottimeError returns why CLOCK_BOOTTIME can't be read on this machine, so that Boottime
// doesn't include suspensions, or nil where it can.
func BoottimeError() error {
	_, err := readBoottime()
	return err
}

// clockDeadline is the deadline of a context by a given clock.
type clockDeadline struct {
	now Clock
	end time.Time
}

type clockDeadlineKey struct{}

// WithDeadline returns a context with a deadline on the given clock. The timer that ends the
// context runs on the monotonic clock and may fire late after a suspension: call Expired before
// any operation that must not happen after the deadline.
func WithDeadline(ctx context.Context, now Clock, end time.Time) (context.Context, context.CancelFunc) {
	steady := time.Now() // read before the other clock, so that the timer isn't late
	return context.WithDeadline(context.WithValue(ctx, clockDeadlineKey{}, clockDeadline{now, end}), steady.Add(end.Sub(now())))
}

// Expired reports whether a context's deadline has passed. Unlike ctx.Err, it also notices this
// in a process that was paused, whose timer has not fired yet, and on a machine that was
// suspended.
func Expired(ctx context.Context) bool {
	if deadline, bounded := ctx.Deadline(); ctx.Err() != nil || bounded && !time.Now().Before(deadline) {
		return true
	}
	until, bounded := ctx.Value(clockDeadlineKey{}).(clockDeadline)
	return bounded && !until.now().Before(until.end)
}

// SuspensionDetector detects that the machine was suspended: CLOCK_BOOTTIME then advances more
// than the monotonic clock. It is not safe for concurrent use.
type SuspensionDetector struct {
	boot, steady         Clock
	lastBoot, lastSteady time.Time
}

// NewSuspensionDetector returns a detector that compares the two clocks from now on.
func NewSuspensionDetector(boot, steady Clock) *SuspensionDetector {
	return &SuspensionDetector{boot: boot, steady: steady, lastBoot: boot(), lastSteady: steady()}
}

// leastSuspension is the shortest difference between the clocks that counts as a suspension:
// they are read one after the other, and the thread may be descheduled in between.
const leastSuspension = 100 * time.Millisecond

// SinceLastCall returns for how long the machine was suspended since the last call, or zero if
// it wasn't.
func (s *SuspensionDetector) SinceLastCall() time.Duration {
	steady, boot := s.steady(), s.boot()
	slept := boot.Sub(s.lastBoot) - steady.Sub(s.lastSteady)
	s.lastBoot, s.lastSteady = boot, steady
	if slept < leastSuspension {
		return 0
	}
	return slept
}
