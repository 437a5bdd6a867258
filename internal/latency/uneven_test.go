package latency

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// unevenEngine is an engine on a host that neighbours load by turns.
type unevenEngine struct {
	usual  float64
	phase  time.Duration
	host   Host
	oldWay Slowdown
}

// Neighbours load a host for loadFor of each loadEvery, and make work take loadFactor times as
// long.
const (
	loadEvery  = 4 * time.Second
	loadFor    = 600 * time.Millisecond
	loadFactor = 2.5
)

func (e *unevenEngine) factor(at time.Duration) float64 {
	if (at+e.phase)%loadEvery < loadFor {
		return e.usual * loadFactor
	}
	return e.usual
}

// finish returns how long work takes that begins at a time.
func (e *unevenEngine) finish(at time.Duration, work float64) float64 {
	const step = time.Millisecond
	for spent := time.Duration(0); ; spent += step {
		work -= 1 / e.factor(at+spent)
		if work <= 0 {
			return float64(spent+step) / float64(time.Millisecond)
		}
	}
}

// TestStatedFactorsPredictPrefillsBetter compares, on the same draw, the predictions of one node
// of sixteen with what workers state and what other nodes measure, and those with a factor that
// the node learns from its own prefills only. Engines have three speeds.
func TestStatedFactorsPredictPrefillsBetter(t *testing.T) {
	truth := Coefficients{Fixed: 96, PerThousand: 17.8, PerMillion: 0.5}
	draw := rand.New(rand.NewPCG(7, 7))
	var engines []*unevenEngine
	for i := range 12 {
		engines = append(engines, &unevenEngine{usual: []float64{0.7, 1, 1.7}[i%3], phase: time.Duration(draw.Int64N(int64(loadEvery)))})
	}
	var stated, learned Model
	var statedErrors, learnedErrors []float64
	const ask, nodes = 500 * time.Millisecond, 16
	for i := range 3000 {
		at := time.Duration(i) * 20 * time.Millisecond
		now := hostOrigin.Add(at)
		for _, engine := range engines {
			if now.Sub(engine.host.LastAt()) >= ask {
				engine.host.Observe(engine.factor(at), now)
			}
		}
		engine := engines[draw.IntN(len(engines))]
		tokens, context := 500+draw.IntN(12_000), draw.IntN(8000)
		took := truth.Fixed + engine.finish(at, truth.VariableMilliseconds(tokens, context))
		expected := engine.host.Factor(now)
		own := i%nodes == nodes-1
		if own {
			c := stated.Coefficients()
			statedErrors = append(statedErrors, math.Abs(c.Fixed+expected.Of(c.VariableMilliseconds(tokens, context))-took))
			learnedErrors = append(learnedErrors, math.Abs(learned.Coefficients().Scaled(engine.oldWay.Value()).Milliseconds(tokens, context)-took))
		}
		reading := Reading{Tokens: tokens, Context: context, Elapsed: millis(took)}
		if own {
			engine.oldWay.Observe(reading, &learned)
			learned.Observe(reading)
		}
		reading.Slowdown = min(expected.Present, engine.factor(at+millis(took)))
		stated.Observe(reading)
	}
	slices.Sort(statedErrors)
	slices.Sort(learnedErrors)
	for _, target := range []struct{ share, milliseconds float64 }{{0.9, 150}, {0.98, 400}} {
		share := target.share
		index := int(share * float64(len(statedErrors)))
		with, without := statedErrors[index], learnedErrors[index]
		t.Logf("p%.0f: %.0f ms with stated factors, %.0f ms without", 100*share, with, without)
		if with > target.milliseconds {
			t.Errorf("p%.0f of the error is %.0f ms with stated factors; the target is %.0f", 100*share, with, target.milliseconds)
		}
		if with > 0.9*without {
			t.Errorf("p%.0f of the error is %.0f ms with stated factors; want at most 0.9 of the %.0f ms without", 100*share, with, without)
		}
	}
}

func TestModelLearnsTheTimeOnAHostAsFastAsUsual(t *testing.T) {
	truth := engine(96, 56, 0.5)
	draw := rand.New(rand.NewPCG(3, 1))
	var model Model
	for range 200 {
		reading := Reading{Tokens: 300 + draw.IntN(15_000), Context: draw.IntN(10_000), Slowdown: []float64{0.7, 1.7}[draw.IntN(2)]}
		reading.Elapsed = millis(reading.Predicted(truth))
		model.Observe(reading)
	}
	for _, tokens := range []int{500, 5000, 15_000} {
		got, want := model.Coefficients().Milliseconds(tokens, 1000), truth.Milliseconds(tokens, 1000)
		if math.Abs(got-want) > 0.03*want {
			t.Errorf("%d tokens: %.1f ms; want %.1f", tokens, got, want)
		}
	}
}
