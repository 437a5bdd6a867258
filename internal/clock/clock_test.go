package clock

import (
	"context"
	"testing"
	"time"
)

// fake is a clock that a test moves.
type fake struct{ at time.Time }

func (f *fake) now() time.Time { return f.at }

func TestBootGoesOn(t *testing.T) {
	if err := BoottimeError(); err != nil {
		t.Fatalf("the clock since boot can't be read: %v", err)
	}
	before, steady := Boottime(), time.Now()
	time.Sleep(20 * time.Millisecond)
	span, steadySpan := Boottime().Sub(before), time.Since(steady)
	if span < 20*time.Millisecond || span > steadySpan {
		t.Errorf("%v by the clock since boot, %v by the steady one around it", span, steadySpan)
	}
}

// TestSuspensionEndsAContext though its timer stands still.
func TestSuspensionEndsAContext(t *testing.T) {
	clock := &fake{at: time.Unix(100, 0)}
	ctx, cancel := WithDeadline(context.Background(), clock.now, clock.at.Add(time.Minute))
	defer cancel()
	if Expired(ctx) {
		t.Error("over at once")
	}
	clock.at = clock.at.Add(time.Minute)
	if !Expired(ctx) || ctx.Err() != nil {
		t.Errorf("expired %v, %v", Expired(ctx), ctx.Err())
	}
	if Expired(context.Background()) {
		t.Error("an unbounded context is over")
	}
	cancel()
	if !Expired(ctx) {
		t.Error("a cancelled context isn't over")
	}
}

func TestSuspensionsAreNoticedOnce(t *testing.T) {
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
			t.Errorf("%+v: noticed %v", example, got)
		}
	}
}

// BenchmarkBoot measures a reading; the steady clock's is beside it.
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
