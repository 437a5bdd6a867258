package quota

import (
	"net/netip"
	"testing"
	"time"
)

func TestMeterForgetsAccountsThatKeepersHaveForgotten(t *testing.T) {
	tolerance := Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5}
	limit := Limit{Rate: 1, Burst: 1, Unit: Requests}
	begin := time.Unix(1000, 0)
	from := Spender{Node: "n", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	meter, keeper := NewMeter(tolerance), NewKeeper(tolerance, begin)
	grant := func(now time.Time) bool {
		report := meter.Begin("a", limit, 1, now)
		granted := keeper.Decide(DecisionRequest{Account: "a", From: from, Report: report, Cost: 1}, true, now).Granted
		if granted {
			meter.Take("a", 1, now)
		}
		return granted
	}
	for second := range 10 {
		grant(begin.Add(time.Duration(second) * time.Second))
	}
	used := begin.Add(9 * time.Second)
	meter.Forget(used.Add(meterTTL))
	if len(meter.accounts) != 1 {
		t.Fatal("an account was dropped that keepers may still know")
	}
	after := used.Add(meterTTL + time.Second)
	meter.Forget(after)
	keeper.Forget(after)
	if len(meter.accounts) != 0 {
		t.Error("an unused account was not dropped")
	}
	if !grant(after) || grant(after) {
		t.Error("after a long pause, exactly one request must be granted at once")
	}
}
