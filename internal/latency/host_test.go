package latency

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var hostOrigin = time.Unix(1_000_000, 0)

// statedHost returns a host with statements at equal intervals, and the time of the last one.
func statedHost(every time.Duration, factors ...float64) (*Host, time.Time) {
	host, at := &Host{}, hostOrigin
	for i, factor := range factors {
		at = hostOrigin.Add(time.Duration(i) * every)
		host.Observe(factor, at)
	}
	return host, at
}

// loaded returns statements of a host that neighbours load in two of every thirteen intervals
// of 300 ms, as many as fill two rounds.
func loaded(usual float64) []float64 {
	var factors []float64
	for i := range 26 {
		if i%13 >= 5 && i%13 < 7 {
			factors = append(factors, 2.5*usual)
		} else {
			factors = append(factors, usual)
		}
	}
	return factors
}

func TestHostFactorOfPatternsOfStatements(t *testing.T) {
	const every, near = 300 * time.Millisecond, 1e-9
	for _, pattern := range []struct {
		name                         string
		factors                      []float64
		usual, now, later, lowestAvg float64
		highestAvg                   float64
	}{
		{name: "no statement"},
		{name: "one statement", factors: []float64{0.7}, usual: 0.7, now: 0.7, later: 0.7, lowestAvg: 0.7, highestAvg: 0.7},
		{name: "steady", factors: []float64{0.7, 0.7, 0.7, 0.7}, usual: 0.7, now: 0.7, later: 0.7, lowestAvg: 0.7, highestAvg: 0.7},
		{name: "fast, loaded at times", factors: loaded(0.7), usual: 0.7, now: 0.7, lowestAvg: 0.75, highestAvg: 0.95},
		{name: "slow, loaded at times", factors: loaded(1.7), usual: 1.7, now: 1.7, lowestAvg: 1.8, highestAvg: 2.3},
		{name: "loaded now", factors: append(loaded(0.7), 1.75), usual: 0.7, now: 1.75, lowestAvg: 0.75, highestAvg: 1},
		{name: "loaded at first", factors: []float64{1.75, 1.75, 0.7, 0.7, 0.7}, usual: 0.7, now: 0.7, lowestAvg: 1, highestAvg: 1.2},
		{name: "one far too low", factors: []float64{1.7, 1.7, 0.01, 1.7, 1.7}, usual: 1.7, now: 1.7, lowestAvg: 1.3, highestAvg: 1.4},
		{name: "hardware changed", factors: append(loaded(0.7), repeated(1.7, maxHostSamples)...), usual: 1.7, now: 1.7, later: 1.7, lowestAvg: 1.7, highestAvg: 1.7},
	} {
		host, at := statedHost(every, pattern.factors...)
		mean := host.Mean()
		if math.Abs(host.Usual()-pattern.usual) > near || math.Abs(host.Expected(at)-pattern.now) > near {
			t.Errorf("%s: usual %.3f, now %.3f; want %.3f and %.3f", pattern.name, host.Usual(), host.Expected(at), pattern.usual, pattern.now)
		}
		if mean < pattern.lowestAvg-near || mean > pattern.highestAvg+near {
			t.Errorf("%s: mean %.3f; want %.3f to %.3f", pattern.name, mean, pattern.lowestAvg, pattern.highestAvg)
		}
		if stale := host.Expected(at.Add(time.Minute)); math.Abs(stale-mean) > near {
			t.Errorf("%s: %.3f is expected a minute later; want the mean, %.3f", pattern.name, stale, mean)
		}
	}
}

func repeated(factor float64, count int) []float64 {
	var factors []float64
	for range count {
		factors = append(factors, factor)
	}
	return factors
}

func TestManyStatementsDuringOneLoadDoNotCountAsUsual(t *testing.T) {
	host, at := statedHost(hostSpan, repeated(0.7, 8)...)
	for range 200 {
		at = at.Add(3 * time.Millisecond)
		host.Observe(1.75, at)
	}
	if host.Usual() != 0.7 || host.Expected(at) != 1.75 {
		t.Errorf("usual %.2f, now %.2f; want 0.70 and 1.75", host.Usual(), host.Expected(at))
	}
}

func TestStatementsThatCannotBeAreIgnored(t *testing.T) {
	host, at := statedHost(hostSpan, 0.7)
	for _, factor := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		if host.Observe(factor, at.Add(time.Second)) {
			t.Errorf("%v was recorded", factor)
		}
	}
	if host.Observe(1.75, at.Add(-time.Millisecond)) {
		t.Error("a statement older than the last one was recorded")
	}
	if host.Last() != 0.7 || !host.LastAt().Equal(at) {
		t.Errorf("the last statement is %v of %v", host.Last(), host.LastAt())
	}
}

// The expected factor lies between the lowest and the highest statement, whenever it is asked
// for, and approaches the mean as time passes.
func TestExpectedFactorLiesBetweenTheStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var host Host
		at, lowest, highest := hostOrigin, math.Inf(1), 0.0
		for _, factor := range rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 60).Draw(t, "factors") {
			at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			host.Observe(factor, at)
			lowest, highest = min(lowest, factor), max(highest, factor)
		}
		age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
		factor, later := host.Factor(at.Add(age)), host.Factor(at.Add(2*age))
		work := rapid.Float64Range(0, 5000).Draw(t, "work")
		for name, value := range map[string]float64{
			"present": factor.Present, "usual": factor.Usual, "mean": factor.Mean,
			"average": factor.Average(), "of": factor.Of(work+1) / (work + 1),
		} {
			if value < lowest*(1-1e-9) || value > highest*(1+1e-9) {
				t.Fatalf("%s is %v, outside of %v to %v", name, value, lowest, highest)
			}
		}
		if math.Abs(later.Present-factor.Mean) > math.Abs(factor.Present-factor.Mean)+1e-9 {
			t.Fatalf("the factor moves away from the mean: %v, then %v", factor, later)
		}
	})
}

func TestWorkOutlastsTheLoadOfNeighbours(t *testing.T) {
	host, at := statedHost(hostSpan, append(loaded(1), 2.5)...)
	factor := host.Factor(at)
	if short := factor.Of(1); math.Abs(short-2.5) > 0.01 {
		t.Errorf("work of 1 ms takes %.3f ms; want 2.5", short)
	}
	if long := factor.Of(10_000) / 10_000; math.Abs(long-factor.Mean) > 0.1 {
		t.Errorf("long work takes %.2f times as long; want about the mean, %.2f", long, factor.Mean)
	}
	if none := (Factor{}); none.Of(40) != 40 || none.Average() != 1 {
		t.Error("work takes longer although nobody states a factor")
	}
}

func TestHostWithoutStatementsIsTakenForASlowOne(t *testing.T) {
	var fleet Fleet
	if unknown := fleet.Unknown(); unknown.Present != 1 {
		t.Errorf("without any statements the factor is %v; want 1", unknown.Present)
	}
	for _, usual := range []float64{0.7, 1.7, 0.7, 1.7} {
		host, _ := statedHost(hostSpan, usual)
		fleet.Add(host)
	}
	fleet.Add(&Host{})
	if unknown := fleet.Unknown(); math.Abs(fleet.Mean()-1.2) > 1e-9 || math.Abs(unknown.Present-1.7) > 1e-9 || unknown.Usual != 0 {
		t.Errorf("mean %.2f, unknown %+v; want 1.20 and 1.70 with no usual factor", fleet.Mean(), unknown)
	}
}
