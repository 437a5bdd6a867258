package scheduling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func inFlight(tokens int, left time.Duration) func(*Candidate) {
	return func(c *Candidate) { c.InFlight = InFlight{Tokens: tokens, Left: left} }
}

// reading returns a change of a candidate at which a prefix of so many tokens is read and nothing
// else waits.
func reading(tokens int, left time.Duration) func(*Candidate) {
	return func(c *Candidate) {
		inFlight(tokens, left)(c)
		queued(tokens)(c)
	}
}

func singleRead(r *Request) { r.SingleRead = true }

func waited(times int) func(*Request) { return func(r *Request) { r.PrefixWaits = times } }

// TestWaitsForAPrefixThatIsBeingRead lists loads in which a prefix of 13,300 tokens is read, or
// isn't worth waiting for. A prompt takes 0.5 s to read and has 0.8 s.
func TestWaitsForAPrefixThatIsBeingRead(t *testing.T) {
	const prefix, left = 13_300, 200 * time.Millisecond
	for name, test := range map[string]struct {
		request    Request
		candidates []Candidate
		mode       Mode
		reader     string
	}{
		"nothing is being read":         {prompt(singleRead), []Candidate{reader("p"), decoder("d")}, Apart, "p"},
		"the prefix is being read":      {prompt(singleRead), []Candidate{reader("p", reading(prefix, left)), reader("q"), decoder("d")}, Held, "p"},
		"not selected":                  {prompt(), []Candidate{reader("p", reading(prefix, left)), reader("q"), decoder("d")}, Apart, "q"},
		"a short part is being read":    {prompt(singleRead), []Candidate{reader("p", reading(MinSharedTokens-1, left)), reader("q"), decoder("d")}, Apart, "q"},
		"cached elsewhere":              {prompt(singleRead), []Candidate{reader("p", reading(prefix, left)), reader("q", cached(prefix)), decoder("d")}, Apart, "q"},
		"cached where it is being read": {prompt(singleRead), []Candidate{reader("p", reading(prefix, left), cached(prefix), queued(30_000)), reader("q", otherZone), decoder("d")}, Apart, "q"},
		"the engine has just failed":    {prompt(singleRead), []Candidate{reader("p", reading(prefix, left), avoided), reader("q"), decoder("d")}, Apart, "q"},
		"the engine leaves":             {prompt(singleRead), []Candidate{reader("p", reading(prefix, left), func(c *Candidate) { c.Leaving = true }), reader("q"), decoder("d")}, Apart, "q"},
		"a fast engine is sooner":       {prompt(singleRead), []Candidate{reader("p", reading(prefix, 300*time.Millisecond)), fastest(), decoder("d")}, Apart, "fastest"},
		"it ends too late":              {prompt(singleRead), []Candidate{reader("p", reading(prefix, 600*time.Millisecond)), reader("q"), decoder("d")}, Apart, "q"},
		"waited once":                   {prompt(singleRead, waited(1)), []Candidate{reader("p", reading(prefix, left)), reader("q"), decoder("d")}, Held, "p"},
		"waited as often as it may":     {prompt(singleRead, waited(maxPrefixWaits)), []Candidate{reader("p", reading(prefix, left)), reader("q"), decoder("d")}, Apart, "q"},
		"a stream that has begun":       {prompt(singleRead, func(r *Request) { r.Begun = true }), []Candidate{reader("p", reading(prefix, left)), reader("q"), decoder("d")}, Apart, "q"},
		"it was read apart before":      {prompt(singleRead, func(r *Request) { r.NoApart = true }), []Candidate{reader("p", reading(prefix, left)), decoder("d", queued(1))}, Refused, ""},
		"two read it, one ends sooner":  {prompt(singleRead), []Candidate{reader("p", reading(prefix, left)), reader("q", reading(prefix, left/2)), decoder("d")}, Held, "q"},
		"late either way, caller stays": {prompt(singleRead, overdue), []Candidate{reader("p", reading(prefix, left)), reader("q", queued(busyQueue)), decoder("d", queued(busyQueue))}, Held, "p"},
		"late, and its caller leaves":   {prompt(singleRead, overdue, patient(400*time.Millisecond)), []Candidate{reader("p", reading(prefix, left)), decoder("d", queued(busyQueue))}, Refused, ""},
	} {
		plan := New(DefaultCosts()).Plan(test.request, test.candidates)
		if plan.Mode != test.mode || test.reader != "" && plan.Reader.ID != test.reader {
			t.Errorf("%s: mode %s (%s) at %q, want %s at %q", name, plan.Mode, plan.Reason, plan.Reader.ID, test.mode, test.reader)
		}
		if plan.Mode == Held && (plan.Reason != PrefixInFlight || plan.RetryAfter != plan.Reader.InFlight.Left+prefixWaitMargin) {
			t.Errorf("%s: held as %q for %v", name, plan.Reason, plan.RetryAfter)
		}
	}
}

// TestUnreadPrefixIsNoSource checks that a prefix that is being read is never fetched.
func TestUnreadPrefixIsNoSource(t *testing.T) {
	candidates := []Candidate{reader("p", inFlight(13_300, time.Second)), reader("q"), decoder("d")}
	if plan := New(DefaultCosts()).Plan(prompt(singleRead), candidates); plan.Fetch != "" {
		t.Errorf("fetched from %s", plan.Fetch)
	}
}

// TestNoRequestWaitsLongerThanItsBound checks, for any load, that each wait ends before half of
// the time for which the caller stays and brings the first byte sooner, and that a request is not held for a prefix once it has waited as often as it may.
func TestNoRequestWaitsLongerThanItsBound(t *testing.T) {
	scheduler := New(DefaultCosts())
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		request := prompt(singleRead)
		request.ObjectiveLeft = milliseconds("objective", 2000) - 500*time.Millisecond
		request.Patience, request.Remaining = milliseconds("patience", 6000), milliseconds("remaining", 6000)
		allowed := max(min(request.Patience, request.Remaining), 0)
		total := time.Duration(0)
		for waits := range maxPrefixWaits + 1 {
			candidates := []Candidate{decoder("d", queued(rapid.IntRange(0, 20_000).Draw(t, "decode queue")))}
			for _, id := range []string{"p", "q"} {
				candidates = append(candidates, reader(id, queued(rapid.IntRange(0, 40_000).Draw(t, "queue")),
					inFlight(rapid.IntRange(0, request.SharedTokens).Draw(t, "tokens"), milliseconds("left", 3000))))
			}
			request.PrefixWaits = waits
			plan := scheduler.Plan(request, candidates)
			if plan.Reason != PrefixInFlight {
				return
			}
			if waits >= maxPrefixWaits {
				t.Fatalf("held once more after %d waits", waits)
			}
			wait := plan.LongestWait + PrefixWaitSpread
			if plan.RetryAfter > plan.LongestWait {
				t.Fatalf("waits for a prefill of %v at most %v", plan.RetryAfter, plan.LongestWait)
			}
			total += wait
			if left := min(request.Patience, request.Remaining); wait > left/2 {
				t.Fatalf("waits %v of %v", wait, left)
			}
			regular := request
			regular.SingleRead = false
			if without := scheduler.Plan(regular, candidates); without.served() && plan.First > without.First {
				t.Fatalf("the first byte comes after %v instead of %v", plan.First, without.First)
			}
			request = request.after(wait)
		}
		if total > allowed*3/4 {
			t.Fatalf("waited %v of %v", total, allowed)
		}
	})
}
