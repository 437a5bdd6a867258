package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tinarch/tinarch/internal/result"
)

func item(id, class, tenant string, rank int32, weight float64) *Item {
	return &Item{ID: id, Class: class, Tenant: tenant, Rank: rank, Weight: weight, MaxQueued: 1000, Cost: 1, Deadline: time.Hour}
}

func push(t *testing.T, q *Queue, items ...*Item) {
	t.Helper()
	for _, it := range items {
		if _, err := q.Push(it); err != nil {
			t.Fatalf("Push(%s): %v", it.ID, err)
		}
	}
}

func TestQueueSharesByWeight(t *testing.T) {
	q := NewQueue(1000)
	for i := range 100 {
		push(t, q, item(fmt.Sprint("h", i), "high", "a", 2, 3), item(fmt.Sprint("l", i), "low", "a", 1, 1))
	}
	counts := map[string]int{}
	for range 80 {
		counts[q.Pop().Class]++
	}
	if counts["high"] != 60 || counts["low"] != 20 {
		t.Errorf("dispatched %v, want 60 high and 20 low", counts)
	}
}

func TestQueueSharesBetweenTenants(t *testing.T) {
	q := NewQueue(1000)
	for i := range 50 {
		push(t, q, item(fmt.Sprint("greedy", i), "c", "greedy", 1, 1))
	}
	push(t, q, item("modest", "c", "modest", 1, 1))
	q.Pop()
	if got := q.Pop(); got.Tenant != "modest" {
		t.Errorf("the second request dispatched is of tenant %s, want modest", got.Tenant)
	}
}

func TestIdleClassAccruesNoCredit(t *testing.T) {
	q := NewQueue(1000)
	for i := range 100 {
		push(t, q, item(fmt.Sprint("a", i), "a", "t", 1, 1))
	}
	for range 50 {
		q.Pop()
	}
	for i := range 50 {
		push(t, q, item(fmt.Sprint("b", i), "b", "t", 1, 1))
	}
	counts := map[string]int{}
	for range 20 {
		counts[q.Pop().Class]++
	}
	if counts["a"] < 9 || counts["b"] < 9 {
		t.Errorf("dispatched %v, want even shares", counts)
	}
}

func TestFullQueueShedsLowestClassFirst(t *testing.T) {
	q := NewQueue(2)
	push(t, q, item("low", "low", "t", 1, 1), item("middle", "middle", "t", 2, 1))
	shed, err := q.Push(item("high", "high", "t", 3, 1))
	if err != nil || shed == nil || shed.ID != "low" {
		t.Fatalf("shed %v, error %v; want low shed", shed, err)
	}
	if _, err := q.Push(item("low2", "low", "t", 1, 1)); result.CodeOf(err) != result.QueueFull {
		t.Errorf("a full queue accepted a low request: %v", err)
	}
}

func TestExpiredRemovesUnreachableDeadlines(t *testing.T) {
	q := NewQueue(10)
	unreachable := item("late", "c", "t", 1, 1)
	unreachable.Deadline, unreachable.ServiceTime = 10*time.Second, 6*time.Second
	push(t, q, unreachable, item("fine", "c", "t", 1, 1))
	if expired := q.Expired(3 * time.Second); len(expired) != 0 {
		t.Fatalf("expired although the deadline can still be met: %v", expired)
	}
	if expired := q.Expired(5 * time.Second); len(expired) != 1 || expired[0].ID != "late" {
		t.Fatalf("expired %v, want late", expired)
	}
	if q.Len() != 1 {
		t.Errorf("%d left, want 1", q.Len())
	}
}

func TestEstimateWaitCountsOwnClassOnly(t *testing.T) {
	q := NewQueue(1000)
	for i := range 10 {
		push(t, q, item(fmt.Sprint(i), "low", "t", 1, 1))
	}
	if got := q.EstimateWait(item("x", "low", "t", 1, 1), 2); got != 5*time.Second {
		t.Errorf("wait of the same class %v, want 5s", got)
	}
	if got := q.EstimateWait(item("x", "high", "t", 2, 1), 2); got != 0 {
		t.Errorf("wait of an empty class %v, want 0", got)
	}
}

// TestQueueMatchesSetModel applies random operations to a queue and to a plain set, and checks
// that no request is lost or appears twice.
func TestQueueMatchesSetModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(30)
		waiting := map[string]*Item{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				rank := rapid.Int32Range(1, 3).Draw(t, "rank")
				it := item(fmt.Sprint(next), fmt.Sprint("class", rank), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant")), rank, float64(rank))
				it.Cost = rapid.Float64Range(0.1, 5).Draw(t, "cost")
				shed, err := q.Push(it)
				if shed != nil {
					delete(waiting, shed.ID)
				}
				if err == nil {
					waiting[it.ID] = it
				}
			},
			"pop": func(t *rapid.T) {
				got := q.Pop()
				if (got == nil) != (len(waiting) == 0) {
					t.Fatalf("pop %v with %d waiting", got, len(waiting))
				}
				if got != nil && waiting[got.ID] != got {
					t.Fatalf("popped %s, which was not waiting", got.ID)
				}
				if got != nil {
					delete(waiting, got.ID)
				}
			},
			"remove": func(t *rapid.T) {
				for id, it := range waiting {
					if !q.Remove(it) {
						t.Fatalf("%s was waiting but Remove returned false", id)
					}
					delete(waiting, id)
					break
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("length %d, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

func TestLimiterRefusesOnlyTheTenantOverItsRate(t *testing.T) {
	l := NewLimiter()
	limits := Limits{PromptTokensPerSecond: 100, OutputTokensPerSecond: 10, BurstSeconds: 2}
	if err := l.Take(0, "a", limits, 150, 5); err != nil {
		t.Fatalf("request within the burst was refused: %v", err)
	}
	err := l.Take(0, "a", limits, 150, 5)
	if result.CodeOf(err) != result.TenantLimit {
		t.Fatalf("request over the limit: got %v, want TenantLimit", err)
	}
	if after := result.From(err).RetryAfterMillis; after != 1000 {
		t.Errorf("retry after %d ms, want 1000", after)
	}
	if err := l.Take(0, "b", limits, 150, 5); err != nil {
		t.Errorf("another tenant was refused: %v", err)
	}
	if err := l.Take(time.Second, "a", limits, 150, 5); err != nil {
		t.Errorf("request after the advised wait was refused: %v", err)
	}
	l.EvictIdle(time.Hour)
	if l.Len() != 0 {
		t.Errorf("%d tenants still have buckets, want 0", l.Len())
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1, 2)
	allowed := 0
	for range 100 {
		b.Deposit()
		if b.Withdraw() {
			allowed++
		}
	}
	if allowed > 12 {
		t.Errorf("%d retries for 100 first attempts, want at most 12", allowed)
	}
}
