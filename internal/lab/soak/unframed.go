package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
// may if its answer isn't framed, and nothing showed the node that the last run broke off.
func mayEndEarly(got observation, runs []fleetworker.Run) bool {
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
	return last.Delivery != nil && last.Delivery.MayPassForWhole(got.body, isStream)
}
