package serving

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/worker"
)

// surveyOf returns a survey of engines with the ids 0, 1, 2 and so on that answer as told.
func surveyOf(engines int, always bool, answer func(i int) slowdownAnswer) (survey *slowdownSurvey, calls *atomic.Int64) {
	var uneven atomic.Bool
	calls = &atomic.Int64{}
	unstated := func(string) (listed []worker.Worker) {
		for i := range engines {
			listed = append(listed, worker.Worker{ID: strconv.Itoa(i)})
		}
		return listed
	}
	ask := func(_ context.Context, engine worker.Worker) slowdownAnswer {
		calls.Add(1)
		i, _ := strconv.Atoi(engine.ID)
		given := answer(i)
		if given.stated {
			uneven.Store(true)
		}
		return given
	}
	return newSlowdownSurvey(unstated, func(string) bool { return always || uneven.Load() }, ask), calls
}

// TestSurveyAsksEachEngineOnceAndEvenServicesHardly: engines that fail to answer tell nothing
// of the others.
func TestSurveyAsksEachEngineOnceAndEvenServicesHardly(t *testing.T) {
	states := slowdownAnswer{answered: true, stated: true}
	silent := slowdownAnswer{answered: true}
	for name, test := range map[string]struct {
		always bool
		answer func(i int) slowdownAnswer
		want   slowdownOutcome
	}{
		"all state it":           {false, func(int) slowdownAnswer { return states }, slowdownOutcome{40, 40, 40}},
		"none states it":         {false, func(int) slowdownAnswer { return silent }, slowdownOutcome{3, 3, 0}},
		"none, always":           {true, func(int) slowdownAnswer { return silent }, slowdownOutcome{40, 40, 0}},
		"the first are dead":     {false, func(i int) slowdownAnswer { return slowdownAnswer{i >= 5, i >= 5} }, slowdownOutcome{40, 35, 35}},
		"dead, then silent":      {false, func(i int) slowdownAnswer { return slowdownAnswer{answered: i >= 5} }, slowdownOutcome{8, 3, 0}},
		"two silent, then state": {false, func(i int) slowdownAnswer { return slowdownAnswer{true, i >= 2} }, slowdownOutcome{40, 40, 38}},
		"all are dead":           {false, func(int) slowdownAnswer { return slowdownAnswer{} }, slowdownOutcome{40, 0, 0}},
	} {
		survey, calls := surveyOf(40, test.always, test.answer)
		if diff := cmp.Diff(test.want, survey.askEngines(context.Background(), "s"), cmp.AllowUnexported(slowdownOutcome{})); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		again := survey.askEngines(context.Background(), "s")
		if again.asked != 0 || int(calls.Load()) != test.want.asked {
			t.Errorf("%s: %d calls, %d engines asked again", name, calls.Load(), again.asked)
		}
	}
}
