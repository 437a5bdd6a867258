package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Constants of the poison request.
const (
	// poisonBody is the body of the request that crashes workers.
	poisonBody  = "poison"
	poisonPause = 250 * time.Millisecond
	// replaceDelay is how long after its end a worker is replaced.
	replaceDelay = time.Second
	// poisonRuns is how many workers may crash before nodes must recognize the request, and how
	// many it may reach after that while no faults are injected.
	poisonRuns = 3
)

// poison tracks a request that is sent again and again, with a new id each time, and crashes
// each worker that runs it. The zero value has sent none. It is safe for concurrent use.
type poison struct {
	mu         sync.Mutex
	requests   map[string]observation
	quietSince time.Time
}

func (d *poison) markQuiet() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quietSince = time.Now()
}

// sent reports whether an id belongs to one of the poison requests.
func (d *poison) sent(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, exists := d.requests[id]
	return exists
}

func (d *poison) add(got observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[string]observation)
	}
	d.requests[got.id] = got
}

// quietFrom is the time from which no faults have been injected for a while.
func (d *poison) quietFrom() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quietSince.Add(quietPeriod / 2)
}

// falseAnswers returns the requests that ran although they were answered as not run, or that were
// answered normally.
func (d *poison) falseAnswers(runs []fleetworker.Run) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var violations []string
	for _, run := range runs {
		if got, exists := d.requests[run.ID]; exists {
			violations = append(violations, falseAnswer(got)...)
		}
	}
	return violations
}

// falseAnswer returns what is wrong with the answer to a request that ran and crashed its worker.
func falseAnswer(got observation) []string {
	switch {
	case notRun[got.status]:
		return []string{fmt.Sprintf("poison request %s was answered as not run (status %d), but it ran", got.id, got.status)}
	case got.status == http.StatusOK && got.err == nil:
		return []string{fmt.Sprintf("poison request %s was answered normally", got.id)}
	}
	return nil
}

// violations returns the violations found: the request may reach at most poisonRuns workers once
// it is recognized and no faults have been injected for a while, and one that was answered as
// not run must not have run.
func (d *poison) violations(runs []fleetworker.Run) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var violations []string
	earlier, quietly := 0, 0
	for _, run := range runs {
		got, exists := d.requests[run.ID]
		if !exists {
			continue
		}
		violations = append(violations, falseAnswer(got)...)
		if run.At.After(d.quietSince.Add(quietPeriod / 2)) {
			quietly++
		} else {
			earlier++
		}
	}
	if earlier >= poisonRuns && quietly > poisonRuns {
		violations = append(violations, fmt.Sprintf("the poison request had crashed %d workers and reached workers %d more times in the quiet period", earlier, quietly))
	}
	slices.Sort(violations)
	return violations
}

// sendPoison sends the poison request again and again until ctx is done.
func (l *load) sendPoison(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	random := rand.New(rand.NewPCG(l.site.options.Seed, callerCount+2))
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, time.Duration(random.Int64N(int64(2*poisonPause))))
		got := observation{
			id: fmt.Sprintf("po15%012x", count), class: classes[len(classes)-1], target: "poison", sent: time.Now(),
			tenant: tenantOf(0), key: keyOf(0), timeout: clientTimeout, prompt: "a0:2000,deadbeef:1000",
		}
		l.site.poison.add(got) // it may run before its answer arrives
		l.site.poison.add(l.send(transport, l.site.address(random), got, poisonBody))
	}
}

// replaceEnded removes an ended worker and starts a replacement after replaceDelay.
func (s *site) replaceEnded(worker *soakWorker, options fleetworker.Options) {
	worker.ended.Store(true)
	if s.options.Unframed {
		worker.proxy.StopAccepting() // its connections end as the worker's do
	} else {
		worker.proxy.Close()
	}
	s.mu.Lock()
	s.workers = slices.DeleteFunc(s.workers, func(other *soakWorker) bool { return other == worker })
	s.ended = append(s.ended, worker)
	number := len(s.ended)
	s.mu.Unlock()
	go func() {
		time.Sleep(replaceDelay)
		worker.proxy.Close()
		s.store.Put("servers", options.ID, nil)
		options.ID = fmt.Sprintf("%s-new-%d", options.Service, number)
		if err := s.addWorker(options); err != nil {
			_, _ = fmt.Fprintln(s.options.Out, "can't replace a worker:", err)
		}
	}()
}

// runningWorkers returns the running workers.
func (s *site) runningWorkers() []*soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// endedWorkers returns the ended workers.
func (s *site) endedWorkers() []*soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ended)
}

// allWorkers returns all workers, running and ended.
func (s *site) allWorkers() []*soakWorker { return append(s.runningWorkers(), s.endedWorkers()...) }

// randomWorker returns a random running worker.
func (s *site) randomWorker() *soakWorker {
	running := s.runningWorkers()
	return running[s.random.IntN(len(running))]
}
