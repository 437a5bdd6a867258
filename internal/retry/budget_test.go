package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// TestNodesTogetherStayWithinTheBudget checks that, whatever the nodes do and however requests
// arrive, no window has more retries than Ratio times the requests of this and the previous
// window, plus the slack.
func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		now := time.Unix(0, 0)
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudget(testLimits, nodes, now)
		}
		type event struct {
			at    time.Time
			spent bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				budget.RecordRequest(nodes, now)
				events = append(events, event{at: now})
			} else if budget.Spend(nodes, now) {
				events = append(events, event{at: now, spent: true})
			}
		}
		for _, end := range events {
			requests, repeats := 0, 0
			for _, e := range events {
				age := end.at.Sub(e.at)
				if !e.spent && age >= 0 && age <= 2*testLimits.Window {
					requests++
				}
				if e.spent && age >= 0 && age < testLimits.Window {
					repeats++
				}
			}
			if float64(repeats) > testLimits.Ratio*float64(requests)+testLimits.Slack+float64(nodes) {
				t.Fatalf("%d retries for %d requests in a window of %d nodes", repeats, requests, nodes)
			}
		}
	})
}

func TestEmptyBudgetRefusesAndFillsWithTime(t *testing.T) {
	now := time.Unix(0, 0)
	budget := NewBudget(testLimits, 1, now)
	spent := 0
	for budget.Spend(1, now) {
		spent++
	}
	if spent == 0 || float64(spent) > testLimits.Slack/2 {
		t.Errorf("%d retries granted at the start", spent)
	}
	if budget.Spend(1, now.Add(10*time.Millisecond)) {
		t.Error("an empty budget granted a retry")
	}
	if !budget.Spend(1, now.Add(testLimits.Window)) {
		t.Error("the budget does not refill with time")
	}
}
