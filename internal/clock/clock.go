// Package clock reads a clock that goes on while the machine is suspended. The steady clock
// stands still then (CLOCK_MONOTONIC), so that a process which wakes up takes what it was
// granted for a time, such as a lease, for younger than it is. The time of day goes on too,
// but may step, and decides nothing.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time. Only the span between two of its times means anything.
type Clock func() time.Time

// started is when this process began by the steady clock, and epoch what the times of Boot are
// counted from: they are near the time of day, as of then, so that they can be read.
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

// Boottime is the clock since the machine's boot, suspension included. Where it can't be read it
// is the steady clock; Available tells why.
func Boottime() time.Time {
	since, err := readBoottime()
	if err != nil {
		since = time.Since(started)
	}
	return epoch.Add(since)
}

// BoottimeError tells why Boot doesn't count suspension on this machine, nil where it does.
func BoottimeError() error {
	_, err := readBoottime()
	return err
}

// clockDeadline is the end of a context by a clock.
type clockDeadline struct {
	now Clock
	end time.Time
}

type clockDeadlineKey struct{}

// WithDeadline bounds a context by a time of a clock. Its timer runs by the steady clock: use
// Expired before what must not be late.
func WithDeadline(ctx context.Context, now Clock, end time.Time) (context.Context, context.CancelFunc) {
	steady := time.Now() // before the other clock, so that the timer isn't late
	return context.WithDeadline(context.WithValue(ctx, clockDeadlineKey{}, clockDeadline{now, end}), steady.Add(end.Sub(now())))
}

// Expired reports whether a context's time is over, also in a process that was paused, whose
// timer has not run yet, or on a machine that was suspended.
func Expired(ctx context.Context) bool {
	if deadline, bounded := ctx.Deadline(); ctx.Err() != nil || bounded && !time.Now().Before(deadline) {
		return true
	}
	until, bounded := ctx.Value(clockDeadlineKey{}).(clockDeadline)
	return bounded && !until.now().Before(until.end)
}

// SuspensionDetector notices that the machine was suspended: the clock that counts that time and the
// steady one drift apart. It is not safe for concurrent use.
type SuspensionDetector struct {
	boot, steady         Clock
	lastBoot, lastSteady time.Time
}

// NewSuspensionDetector compares two clocks from now on.
func NewSuspensionDetector(boot, steady Clock) *SuspensionDetector {
	return &SuspensionDetector{boot: boot, steady: steady, lastBoot: boot(), lastSteady: steady()}
}

// leastSuspension is the shortest difference that is taken for a suspension: clocks are read
// one after the other, and a thread may wait in between.
const leastSuspension = 100 * time.Millisecond

// SinceLastCall returns for how long the machine was suspended since the last call, zero where it
// wasn't.
func (s *SuspensionDetector) SinceLastCall() time.Duration {
	steady, boot := s.steady(), s.boot()
	slept := boot.Sub(s.lastBoot) - steady.Sub(s.lastSteady)
	s.lastBoot, s.lastSteady = boot, steady
	if slept < leastSuspension {
		return 0
	}
	return slept
}
