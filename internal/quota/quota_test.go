package quota

import (
	"testing"
	"time"
)

func TestCost(t *testing.T) {
	tokens := Limit{Rate: 1, Unit: Tokens, DefaultTokens: 200}
	requests := Limit{Rate: 1, Unit: Requests}
	for _, c := range []struct {
		limit    Limit
		declared int
		want     float64
	}{{tokens, 1500, 1500}, {tokens, 0, 200}, {requests, 1500, 1}} {
		if got := c.limit.Cost(c.declared); got != c.want {
			t.Errorf("%d tokens in %s cost %v, want %v", c.declared, c.limit.Unit, got, c.want)
		}
	}
}

func TestToleranceGrowsWithTheLimit(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 50}
	if got := tolerance.MaxExcess(Limit{Rate: 100, Burst: 200}); got != 150 {
		t.Errorf("MaxExcess is %v, want 150", got)
	}
}
