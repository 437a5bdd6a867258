package clock

import (
	"context"
	"testing"
	"time"
)

// fake is a clock that a test sets.
type fake struct{ at time.Time }

func (f *fake) now() time.Time { return f.at }

func TestBoottimeAdvances(t *testing.T) {
	if err := BoottimeError(); err != nil {
		t.Fatalf("CLOCK_BOOTTIME can't be read: %v", err)
	}
	before, steady := Boottime(), time.Now()
	time.Sleep(20 * time.Millisecond)
	span, steadySpan := Boottime().Sub(before), time.Since(steady)
	if span < 20*time.Millisecond || span > steadySpan {
		t.Errorf("%v by CLOCK_BOOTTIME, %v by the monotonic clock around it", span, steadySpan)
	}
}

// TestSuspensionEndsAContext checks that a context expires by its own clock although its timer,
// which runs on the monotonic clock, has not fired.
func TestSuspensionEndsAContext(t *testing.T) {
	clock := &fake{at: time.Unix(100, 0)}
	ctx, cancel := WithDeadline(context.Background(), clock.now, clock.at.Add(time.Minute))
	defer cancel()
	if Expired(ctx) {
		t.Error("the context expires at once")
	}
	clock.at = clock.at.Add(time.Minute)
	if !Expired(ctx) || ctx.Err() != nil {
		t.Errorf("expired %v, %v", Expired(ctx), ctx.Err())
	}
	if Expired(context.Background()) {
		t.Error("a context without a deadline has expired")
	}
	cancel()
	if !Expired(ctx) {
		t.Error("a cancelled context has not expired")
	}
}

func TestEachSuspensionIsReportedOnce(t *testing.T) {
	boot, steady := &fake{at: time.Unix(100, 0)}, &fake{at: time.Unix(7, 0)}
	s := NewSuspensionDetector(boot.now, steady.now)
	pass := func(span, suspended time.Duration) {
		steady.at = steady.at.Add(span)
		boot.at = boot.at.Add(span + suspended)
	}
	for _, example := range []struct{ span, suspended, noticed time.Duration }{
		{time.Second, 0, 0},
		{time.Second, 5 * time.Second, 5 * time.Second},
		{time.Second, 0, 0},
		{time.Minute, leastSuspension / 2, 0},
	} {
		pass(example.span, example.suspended)
		if got := s.SinceLastCall(); got != example.noticed {
			t.Errorf("%+v: reported %v", example, got)
		}
	}
}

// BenchmarkBoot measures one reading of CLOCK_BOOTTIME, and one of the monotonic clock for
// comparison.
func BenchmarkBoot(b *testing.B) {
	b.Run("boot", func(b *testing.B) {
		for b.Loop() {
			_ = Boottime()
		}
	})
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}
