package httpguard

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTurnsPauseUntilNothingElseIsToBeDone guards against connections that take the processor one after the other:
// a pause by the clock is over when a process that has a part of a core runs again, and connections that ask only
// after the last turn has ended took turns without any pause.
func TestTurnsPauseUntilNothingElseIsToBeDone(t *testing.T) {
	late := []time.Duration{time.Second, time.Millisecond, idleDelay, idleDelay - 1}
	var mu sync.Mutex
	var pauses []time.Duration
	turns := NewTurns()
	turns.sleep = func(pause time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		pauses = append(pauses, pause)
		return late[len(pauses)-1]
	}
	turns.begin(1)
	turns.since = turns.since.Add(-turnBurst)
	turns.end()
	turns.begin(1) // waits for the pause
	turns.end()
	mu.Lock()
	defer mu.Unlock()
	if want := slices.Repeat([]time.Duration{turnPause}, len(late)); !cmp.Equal(want, pauses) {
		t.Errorf("pauses %v, want %v", pauses, want)
	}
}

// TestTurnsGoOnThoughOthersAreAlwaysBusy: connections without credit are late then, but they aren't left out.
func TestTurnsGoOnThoughOthersAreAlwaysBusy(t *testing.T) {
	turns := NewTurns()
	pauses := 0
	turns.sleep = func(time.Duration) time.Duration {
		pauses++
		return time.Second
	}
	turns.begin(1)
	turns.since = turns.since.Add(-turnBurst)
	turns.end()
	turns.begin(1)
	if pauses != mostPauses {
		t.Errorf("%d pauses, want %d", pauses, mostPauses)
	}
}

// TestSmallWorkIsDoneFirst: ordinary requests on a busy connection would wait for all requests whose heads take
// far longer. A connection that has waited for long isn't passed over.
func TestSmallWorkIsDoneFirst(t *testing.T) {
	turns := NewTurns()
	turns.begin(1)
	order := make(chan string, 3)
	var asked sync.WaitGroup
	ask := func(name string, work, waiting int) {
		asked.Go(func() {
			turns.begin(work)
			order <- name
			turns.end()
		})
		turns.awaitWaiting(t, waiting)
	}
	ask("large", 100*agingRate, 1)
	turns.mu.Lock()
	turns.waiting[0].due = turns.waiting[0].due.Add(-99 * time.Second) // it has waited for that long
	turns.mu.Unlock()
	ask("larger", 200*agingRate, 2)
	ask("small", agingRate/2, 3)
	turns.end()
	asked.Wait()
	got := []string{<-order, <-order, <-order}
	if diff := cmp.Diff([]string{"small", "large", "larger"}, got); diff != "" {
		t.Error(diff)
	}
}

// awaitWaiting waits until that many connections wait for a turn.
func (t *Turns) awaitWaiting(test *testing.T, want int) {
	test.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		t.mu.Lock()
		waiting := len(t.waiting)
		t.mu.Unlock()
		if waiting == want {
			return
		}
	}
	test.Fatalf("no %d connections wait for a turn", want)
}
