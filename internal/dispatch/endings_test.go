package dispatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// fingerprintOf returns a made-up fingerprint.
func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.Content{Target: name}.Fingerprint()
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestCrashDetector returns a crash detector whose looks find what probe returns.
func newTestCrashDetector(probe func(ctx context.Context, address string) workerconn.Liveness) *crashDetector {
	e := newCrashDetector(workerconn.NewPool().Look, func(string) bool { return false }, func(string) {}, noQuarantine{}, quietLogger(), NewMetrics(prometheus.NewRegistry()))
	e.probe = func(ctx context.Context, _, address string) workerconn.Liveness { return probe(ctx, address) }
	return e
}

// TestEndedWorkerIsProbedOnce checks that a worker is probed once, however many of its
// answers broke off.
func TestEndedWorkerIsProbedOnce(t *testing.T) {
	var mu sync.Mutex
	looks := 0
	e := newTestCrashDetector(func(context.Context, string) workerconn.Liveness {
		mu.Lock()
		defer mu.Unlock()
		looks++
		return workerconn.Dead
	})
	ended := scheduling.Candidate{ID: "w", Address: "a"}
	var requests sync.WaitGroup
	for _, name := range []string{"a", "b", "c", "d"} {
		requests.Go(func() {
			defer e.end(ended.ID, e.begin(ended.ID, &Call{Fingerprint: fingerprintOf(name)}, false))
			if got := e.inspect(ended); got != workerconn.Dead {
				t.Errorf("request %s found the worker %s, want it dead", name, got)
			}
		})
	}
	requests.Wait()
	if looks != 1 || len(e.running) != 0 {
		t.Errorf("%d looks, %d workers with running requests, want 1 and 0", looks, len(e.running))
	}
}

// TestSlowLookDelaysNoRequest checks that a request does not wait for a probe that gets no
// answer, although the probe goes on.
func TestSlowLookDelaysNoRequest(t *testing.T) {
	answered := make(chan struct{})
	e := newTestCrashDetector(func(context.Context, string) workerconn.Liveness {
		<-answered
		return workerconn.Alive
	})
	dark := scheduling.Candidate{ID: "w", Address: "a"}
	if got := e.inspect(dark); got != workerconn.Unheard {
		t.Errorf("before the probe is answered the worker is %s", got)
	}
	begun := e.look(dark)
	close(answered)
	<-begun.done
	if begun.liveness != workerconn.Alive {
		t.Errorf("after the probe is answered the worker is %s", begun.liveness)
	}
}

func TestLooksAreBounded(t *testing.T) {
	e := newTestCrashDetector(func(context.Context, string) workerconn.Liveness { return workerconn.Dead })
	for number := range 2 * maxLooks {
		e.inspect(scheduling.Candidate{ID: string(rune(number))})
	}
	if len(e.looks) > maxLooks {
		t.Errorf("%d looks are remembered", len(e.looks))
	}
}

// aliveRecorder records the workers of which the quarantine is told that they are alive.
type aliveRecorder struct {
	noQuarantine
	alive []string
}

func (q *aliveRecorder) WorkerAlive(worker string, _ time.Time) { q.alive = append(q.alive, worker) }

// TestAnswerOfLaterIncarnationDoesNotUndoCrash guards against taking the answers of a restarted
// worker for a sign that it never ended: they arrive before the worker list tells of the new
// incarnation. Only a request given to it before the look shows that the look was mistaken.
func TestAnswerOfLaterIncarnationDoesNotUndoCrash(t *testing.T) {
	for id, want := range map[string]int{"w": 2, worker.IncarnationID("w", 7): 1} {
		quarantined := &aliveRecorder{}
		e := newTestCrashDetector(func(context.Context, string) workerconn.Liveness { return workerconn.Dead })
		e.quarantine = quarantined
		before := time.Now()
		for _, given := range []func() time.Time{func() time.Time { return before.Add(-time.Second) }, time.Now} {
			e.inspect(scheduling.Candidate{ID: id, Address: "a"})
			e.recordCompletion(id, given(), time.Now())
		}
		if len(quarantined.alive) != want {
			t.Errorf("%s: reported alive %d times, want %d", id, len(quarantined.alive), want)
		}
	}
}
