package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// sharedPrefix takes an engine about a minute to prefill as predicted, and calls may wait for an
// hour, so that no wait in these tests ends by its timer.
var sharedPrefix = prefixcache.Part{ID: 1, Tokens: 2_000_000}

// singleReadFixture is a dispatcher with one engine of each of some stages. They answer each request
// when answers tells them to: well, or by breaking the connection off.
type singleReadFixture struct {
	dispatcher *Dispatcher
	planned    chan struct{}
	sent       chan struct{}
	answers    chan bool
}

func newSingleReadFixture(t *testing.T, stages ...worker.Stage) *singleReadFixture {
	t.Helper()
	f := &singleReadFixture{planned: make(chan struct{}, 1000), sent: make(chan struct{}, 1000), answers: make(chan bool)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case good := <-f.answers:
			if !good {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "id: 1\n\n")
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	registry := worker.NewRegistry(topology.New("a", nil))
	registry.SetCacheCapacity("llm", 1_000_000_000)
	var workers []worker.Worker
	for _, stage := range stages {
		workers = append(workers, worker.Worker{ID: string(stage), Service: "llm", Address: server.Listener.Addr().String(), Zone: "a", Slots: 64, Stage: stage})
	}
	registry.Replace(workers)
	if slices.Contains(stages, worker.Prefill) { // other prompts wait at the decode engine, so that it reads none
		registry.Begin(string(worker.Decode), worker.Load{Unread: worker.UnreadTokensOf(0, 100*sharedPrefix.Tokens)})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.dispatcher = New(Options{
		Registry: registry, Scheduler: scheduling.New(scheduling.DefaultCosts()), Pool: workerconn.NewPool(), Wire: sendingWire{f.sent},
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Nodes: func() int { return 1 }, Retries: retry.Limits{},
		Overload: Overload{SingleRead: func(string) bool { return true }},
		Freshness: func() Freshness {
			f.planned <- struct{}{}
			return Freshness{}
		},
	})
	return f
}

// start runs a call that shares the prefix, and returns where its outcome arrives.
func (f *singleReadFixture) start(ctx context.Context, own prefixcache.PartID) <-chan Outcome {
	now := time.Now()
	route := &routing.Route{Name: "check", Kind: routing.Streaming, MaxAttempts: 1, Priority: 1, Objective: time.Hour, Patience: time.Hour}
	call := &Call{
		ID: "1", Method: http.MethodPost, Target: "/", Header: http.Header{}, Route: route, Service: &routing.Service{Name: "llm"},
		Prompt: []prefixcache.Part{sharedPrefix, {ID: own, Tokens: 10}}, PromptTokens: sharedPrefix.Tokens + 10, ExpectedOutput: 1,
		Arrived: now, Deadline: now.Add(time.Hour),
	}
	ended := make(chan Outcome, 1)
	go func() { ended <- f.dispatcher.Run(ctx, call, &sink{}) }()
	return ended
}

// startWaiting starts a call that reads the prefix and then calls that wait for it.
func (f *singleReadFixture) startWaiting(t *testing.T, ctx context.Context, count int) (reading <-chan Outcome, waiting []<-chan Outcome) {
	t.Helper()
	reading = f.start(ctx, 100)
	<-f.planned
	<-f.sent
	for i := range count {
		waiting = append(waiting, f.start(context.Background(), prefixcache.PartID(200+i)))
		<-f.planned
	}
	if len(f.sent) != 0 {
		t.Fatalf("%d calls were sent while the prefix is being read", len(f.sent))
	}
	return reading, waiting
}

// waits returns how many calls are counted as having waited with an outcome.
func (f *singleReadFixture) waits(outcome prefixWait) int {
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.dispatcher.metrics.PrefixWaits)
	families, _ := registry.Gather()
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == string(outcome) {
				return int(metric.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// answerAll answers all further requests well.
func (f *singleReadFixture) answerAll(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case f.answers <- true:
			case <-done:
				return
			}
		}
	}()
}

// fleets are the engines with which a prefix is read by the engine that answers, and by another.
var fleets = [][]worker.Stage{{worker.Decode}, {worker.Prefill, worker.Decode}}

// TestOneOfManyReadsAColdPrefix checks that of many requests for a prefix that no engine has
// cached exactly one reads it, and that the others read the rest when it has.
func TestOneOfManyReadsAColdPrefix(t *testing.T) {
	const count = 8
	for _, stages := range fleets {
		f := newSingleReadFixture(t, stages...)
		reading, waiting := f.startWaiting(t, context.Background(), count)
		f.answerAll(t)
		for _, ended := range append(waiting, reading) {
			if outcome := <-ended; outcome.Status != http.StatusOK {
				t.Errorf("%v: %+v", stages, outcome)
			}
		}
		if shared, read := f.waits(prefixShared), f.waits(prefixRead); shared != count || read != 0 {
			t.Errorf("%v: %d calls shared the prefix and %d read it again", stages, shared, read)
		}
	}
}

// TestWaitersAreFreedWhenTheReadEnds checks that a waiting request reads the prefix itself as soon
// as the engine has failed or the caller has left for whom it was read, although the prefill was
// expected to take much longer.
func TestWaitersAreFreedWhenTheReadEnds(t *testing.T) {
	leave := func(_ *singleReadFixture, leave func()) { leave() }
	fail := func(f *singleReadFixture, _ func()) { f.answers <- false }
	for name, test := range map[string]struct {
		stages []worker.Stage
		end    func(f *singleReadFixture, leave func())
	}{
		"caller leaves, read by the engine that answers": {fleets[0], leave},
		"caller leaves, read by another engine":          {fleets[1], leave},
		"engine fails":                                   {fleets[0], fail},
	} {
		f := newSingleReadFixture(t, test.stages...)
		ctx, leave := context.WithCancel(context.Background())
		reading, waiting := f.startWaiting(t, ctx, 1)
		test.end(f, leave)
		if outcome := <-reading; outcome.Status == http.StatusOK {
			t.Errorf("%s: %+v", name, outcome)
		}
		<-f.sent
		f.answerAll(t)
		if outcome := <-waiting[0]; outcome.Status != http.StatusOK || f.waits(prefixRead) != 1 {
			t.Errorf("%s: %+v, %d read the prefix after they had waited", name, outcome, f.waits(prefixRead))
		}
		leave()
	}
}

// TestNobodyWaitsWhereSingleReadIsOff checks that requests of a service that isn't selected are
// sent at once, and that nothing is told of their prefills.
func TestNobodyWaitsWhereSingleReadIsOff(t *testing.T) {
	f := newSingleReadFixture(t, worker.Decode)
	f.dispatcher.overload.SingleRead = func(string) bool { return false }
	first, second := f.start(context.Background(), 100), f.start(context.Background(), 200)
	<-f.sent
	<-f.sent
	if told := f.dispatcher.registry.Snapshot().Prefills; len(told) != 0 {
		t.Errorf("told: %v", told)
	}
	f.answers <- true
	f.answers <- true
	<-first
	<-second
}

// homeOfPrefix is the home of a worker at which another node has the prefix prefilled. It reports
// that in its first answer, and that the prefix is cached in the later ones.
type homeOfPrefix struct{ asked int }

func (*homeOfPrefix) Tracked(workers []string) []bool         { return make([]bool, len(workers)) }
func (*homeOfPrefix) TrackedEngines() (map[string]bool, bool) { return nil, false }
func (*homeOfPrefix) RoundTrip(string) time.Duration          { return 0 }

func (h *homeOfPrefix) Ask(context.Context, []string, []prefixcache.Part, int) scheduling.Answers {
	h.asked++
	report := scheduling.LoadReport{CachedTokens: sharedPrefix.Tokens}
	if h.asked == 1 {
		report = scheduling.LoadReport{InFlight: scheduling.InFlight{Tokens: sharedPrefix.Tokens, Left: time.Millisecond}}
	}
	return scheduling.Answers{Reports: map[string]scheduling.LoadReport{string(worker.Decode): report}}
}

// TestWaitWhereAnotherNodeTracksTheEngine checks that a node that learns of a prefill by asking
// waits for its expected end and asks again.
func TestWaitWhereAnotherNodeTracksTheEngine(t *testing.T) {
	f := newSingleReadFixture(t, worker.Decode)
	home := &homeOfPrefix{}
	f.dispatcher.loadReports = home
	waiting := f.start(context.Background(), 200)
	f.answers <- true
	if outcome := <-waiting; outcome.Status != http.StatusOK || home.asked != 2 || f.waits(prefixShared) != 1 {
		t.Errorf("%+v, asked %d times, %d waited", outcome, home.asked, f.waits(prefixShared))
	}
}

// TestWaitForAPrefixEndsWithItsCaller checks that a request whose caller leaves while it waits is
// sent to nobody and counts as not run.
func TestWaitForAPrefixEndsWithItsCaller(t *testing.T) {
	f := newSingleReadFixture(t, worker.Decode)
	reading := f.start(context.Background(), 100)
	<-f.planned
	<-f.sent
	ctx, leave := context.WithCancel(context.Background())
	waiting := f.start(ctx, 200)
	<-f.planned
	leave()
	if outcome := <-waiting; !outcome.NotRun() || outcome.Attempts != 0 || len(f.sent) != 0 || f.waits(prefixLeft) != 1 {
		t.Errorf("%+v, %d sent, %d left", outcome, len(f.sent), f.waits(prefixLeft))
	}
	f.answers <- true
	<-reading
}
