package serving

import (
	"context"
	"sync"

	"github.com/tinarch/tinarch/internal/worker"
)

const (
	// slowdownCalls is the number of calls under way at once: few enough for the smallest node,
	// and enough for a thousand engines to answer before engines are prepared.
	slowdownCalls = 8
	// slowdownSample is the number of answers without a slowdown after which no more engines of
	// a service are asked.
	slowdownSample = 3
)

// slowdownAnswer is the outcome of asking one engine.
type slowdownAnswer struct{ answered, stated bool }

// slowdownSurvey asks each engine once for its slowdown, and stops for services whose engines
// don't state any.
type slowdownSurvey struct {
	// unstated returns the engines of a service that have not stated a slowdown, selects
	// whether all engines of a service are to be asked, and ask asks one engine.
	unstated func(service string) []worker.Worker
	selects  func(service string) bool
	ask      func(ctx context.Context, engine worker.Worker) slowdownAnswer

	asked map[string]bool
	// silent counts the engines that answered without a slowdown, by service.
	silent map[string]int
}

func newSlowdownSurvey(
	unstated func(service string) []worker.Worker, selects func(service string) bool,
	ask func(ctx context.Context, engine worker.Worker) slowdownAnswer,
) *slowdownSurvey {
	return &slowdownSurvey{
		unstated: unstated, selects: selects, ask: ask,
		asked: make(map[string]bool), silent: make(map[string]int),
	}
}

// slowdownOutcome counts the engines of a service that were asked and what they answered.
type slowdownOutcome struct{ asked, answered, stated int }

// askEngines asks the engines of a service that have not been asked yet, for as long as it is
// worth it, a few at first.
func (s *slowdownSurvey) askEngines(ctx context.Context, service string) slowdownOutcome {
	var engines []worker.Worker
	for _, engine := range s.unstated(service) {
		if !s.asked[engine.ID] {
			engines = append(engines, engine)
		}
	}
	var outcome slowdownOutcome
	for outcome.asked < len(engines) && s.goesOn(service) {
		batch := engines[outcome.asked:]
		if !s.selects(service) {
			batch = batch[:min(slowdownSample-s.silent[service], len(batch))]
		}
		for _, answer := range s.askAll(ctx, batch) {
			outcome.asked++
			if answer.answered {
				outcome.answered++
			}
			if answer.stated {
				outcome.stated++
			} else if answer.answered {
				s.silent[service]++
			}
		}
	}
	return outcome
}

// goesOn reports whether more engines of a service are worth asking: once a few have answered
// without a slowdown, the others won't state one either.
func (s *slowdownSurvey) goesOn(service string) bool {
	return s.selects(service) || s.silent[service] < slowdownSample
}

// askAll asks engines, a few at a time.
func (s *slowdownSurvey) askAll(ctx context.Context, engines []worker.Worker) []slowdownAnswer {
	slots := make(chan struct{}, slowdownCalls)
	answers := make([]slowdownAnswer, len(engines))
	var calls sync.WaitGroup
	for i, engine := range engines {
		s.asked[engine.ID] = true
		slots <- struct{}{}
		calls.Go(func() {
			answers[i] = s.ask(ctx, engine)
			<-slots
		})
	}
	calls.Wait()
	return answers
}
