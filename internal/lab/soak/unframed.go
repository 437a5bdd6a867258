package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// varyDeliveries makes a worker answer in all framings, and break answers off in order and with a
// reset.
func (s *site) varyDeliveries(ctx context.Context, length time.Duration) string {
	worker := s.randomWorker()
	random := rand.New(rand.NewPCG(s.options.Seed, s.random.Uint64()))
	worker.SetDeliveries(fleetworker.RandomDeliveries(random, len(completeAnswer("0123456789abcdef"))))
	sleep(ctx, length)
	if s.random.IntN(2) == 0 {
		return fmt.Sprintf("%s answers in all framings", worker.ID())
	}
	worker.SetDeliveries(nil)
	return fmt.Sprintf("%s answered in all framings for %v", worker.ID(), length.Round(time.Millisecond))
}

// crashWorker ends a worker while it answers. Its connections are closed in order.
func (s *site) crashWorker(context.Context, time.Duration) string {
	worker := s.randomWorker()
	worker.Crash()
	return "crashed " + worker.ID()
}

// mayEndEarly reports whether a caller may have got a part of an answer that ended in order. It
// may if its answer isn't framed, nothing showed the node that the last run broke off, and the
// part ends where the worker was told to end it, unless the worker crashed.
func mayEndEarly(got observation, runs []fleetworker.Run, workers map[string]*soakWorker) bool {
	if got.framed || len(runs) == 0 {
		return false
	}
	last := runs[0]
	for _, run := range runs {
		if run.At.After(last.At) {
			last = run
		}
	}
	isStream := got.class.service == engines
	if last.Delivery == nil || !last.Delivery.MayPassForWhole(got.body, isStream) {
		return false
	}
	worker := workers[last.Worker]
	return got.body == toldToSend(got.id, last) || worker != nil && worker.ended.Load()
}

// toldToSend returns what a caller has got in all if the worker of a run sent what it was told to
// send. A run that resumes a stream sends what follows the event that the request names.
func toldToSend(id string, run fleetworker.Run) string {
	after, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
	rest := fleetworker.Body(id, eventCount, after)
	return fleetworker.Body(id, after, 0) + rest[:min(run.Delivery.Sent, len(rest))]
}
