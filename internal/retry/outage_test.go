package retry

import (
	"testing"
	"time"
)

func TestOutageIsExpectedToLastAsLongAsUsual(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var o Outage
	expect := func(seconds float64, want time.Duration) {
		t.Helper()
		if got := o.ExpectedRemaining(at(seconds)); got != want {
			t.Errorf("at %v s the service is expected back in %v, want %v", seconds, got, want)
		}
	}
	expect(0, 0)
	o.Failed(at(0))
	expect(0, 0)
	o.Failed(at(1))
	expect(1, 500*time.Millisecond)
	o.Failed(at(2.9))
	o.Served(at(3))
	expect(3, 0)
	o.Failed(at(10))
	expect(10, 0)
	expect(10.5, 2500*time.Millisecond)
	expect(12.5, 1250*time.Millisecond)
	o.Failed(at(14))
	o.Served(at(15))
	o.Failed(at(20))
	expect(20.5, 3500*time.Millisecond)
	expect(100, 8*time.Second)
}

func TestIsolatedFailuresAreNoOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	var o Outage
	for second := range 10 {
		now := begin.Add(time.Duration(second) * time.Second)
		o.Failed(now)
		o.Served(now.Add(100 * time.Millisecond))
	}
	o.Failed(begin)
	o.Served(begin.Add(time.Minute)) // no calls came in between
	if o.usualDuration != 0 {
		t.Errorf("isolated failures make a usual outage of %v", o.usualDuration)
	}
}
