package scheduling

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
)

// onHost places a worker on a host with a factor, in a fleet whose mean is 1.2.
func onHost(factor float64) func(*Candidate) {
	return func(c *Candidate) {
		c.Host = latency.Factor{Present: factor, Usual: factor, Mean: factor, Fleet: 1.2}
	}
}

func late(tokens int) func(*Candidate) { return func(c *Candidate) { c.LateTokens = tokens } }

func unevenPrompt(change ...func(*Request)) Request {
	request := prompt()
	request.Engine.HandoverWork, request.Engine.HandoverPerToken, request.Engine.Run, request.Engine.Pace = 12, 0.002, 80, 5
	request.GapObjective = 400 * time.Millisecond
	for _, c := range change {
		c(&request)
	}
	return request
}

func TestEnginesAreChosenByTheTimeOnTheirHosts(t *testing.T) {
	slowPace := func(r *Request) { r.GapObjective = 6 * time.Millisecond }
	for _, load := range []struct {
		name           string
		request        Request
		candidates     []Candidate
		reader, runner string
	}{
		{"the faster hosts, if all are idle", unevenPrompt(),
			[]Candidate{reader("slow", onHost(1.7)), reader("fast", onHost(0.7)), decoder("d-slow", onHost(1.7)), decoder("d-fast", onHost(0.7))},
			"fast", "d-fast"},
		{"the slower host, if the faster one has a long queue", unevenPrompt(),
			[]Candidate{reader("slow", onHost(1.7)), reader("fast", onHost(0.7), queued(60_000)), decoder("d", onHost(0.7))},
			"slow", "d"},
		{"the host that neighbours don't load", unevenPrompt(),
			[]Candidate{reader("loaded", onHost(1.75)), reader("quiet", onHost(0.7), queued(5_000)), decoder("d", onHost(0.7))},
			"quiet", "d"},
		{"the slower host that has most of the prompt", unevenPrompt(),
			[]Candidate{reader("keeps", onHost(1.7), cached(16_500)), reader("fast", onHost(0.7)), decoder("d", onHost(0.7))},
			"keeps", "d"},
		{"as many requests weigh more on a slow host", unevenPrompt(),
			[]Candidate{reader("r", onHost(0.7)), decoder("d-slow", onHost(1.7), running(20)), decoder("d-fast", onHost(0.7), running(30))},
			"r", "d-fast"},
		{"no host whose pauses are too long", unevenPrompt(slowPace),
			[]Candidate{reader("r", onHost(0.7)), decoder("d-slow", onHost(1.7)), decoder("d-fast", onHost(0.7), running(60))},
			"r", "d-fast"},
	} {
		plan := New(DefaultCosts()).planApart(load.request, load.candidates)
		if plan.Mode != Apart || plan.Reader.ID != load.reader || plan.Runner.ID != load.runner {
			t.Errorf("%s: %s at %q and %q; want apart at %q and %q", load.name, plan.Mode, plan.Reader.ID, plan.Runner.ID, load.reader, load.runner)
		}
	}
}

func TestFirstByteIsPredictedForTheHosts(t *testing.T) {
	predict := func(change ...func(*Candidate)) float64 {
		request := unevenPrompt()
		plan := New(DefaultCosts()).planApart(request, []Candidate{reader("r", change...), decoder("d", change...)})
		return float64(plan.First) / float64(time.Millisecond)
	}
	const fixed, reading, work, transfer = 25, 17_000.0 / 36, 12, 34
	near := func(got, want float64) bool { return got > want-0.01 && got < want+0.01 }
	if got := predict(onHost(1)); !near(got, fixed+reading+work+transfer) {
		t.Errorf("%.2f ms on hosts as fast as usual; want %.2f", got, fixed+reading+work+transfer)
	}
	if got, want := predict(onHost(1.7)), fixed+1.7*(reading+work)+transfer; !near(got, want) {
		t.Errorf("%.2f ms on slow hosts; want %.2f", got, want)
	}
	if got, want := predict(onHost(1), queued(3600), late(3600)), fixed+reading+100+work+transfer; !near(got, want) {
		t.Errorf("%.2f ms behind 3,600 tokens in time and as many late ones; want %.2f", got, want)
	}
	if got, want := predict(queued(3600), late(3600)), fixed+reading+100+30; !near(got, want) {
		t.Errorf("%.2f ms without statements; want %.2f, as before", got, want)
	}
}

func TestLateViewCountsLateTokensOnce(t *testing.T) {
	scheduler := New(DefaultCosts())
	for _, change := range []func(*Candidate){onHost(1), func(*Candidate) {}} {
		view := scheduler.lateView(unevenPrompt(), []Candidate{reader("r", change, queued(1000), late(500))})
		if got := view[0].ReadAhead; got != 1500 {
			t.Errorf("%d tokens are ahead of a late request; want 1,500", got)
		}
	}
}
