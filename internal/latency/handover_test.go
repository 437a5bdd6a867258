package latency

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestHandoverTellsWorkAndTransferApart(t *testing.T) {
	const work, perToken = 12.0, 0.0026
	draw := rand.New(rand.NewPCG(1, 2))
	var learned Handover
	for i := range 200 {
		if _, _, known := learned.Milliseconds(); known != (i >= minHandoverSamples) {
			t.Fatalf("after %d samples known is %v", i, known)
		}
		tokens, slowdown := 500+draw.IntN(20_000), []float64{0.7, 1.7, 1.75}[draw.IntN(3)]
		learned.Observe(millis((work*slowdown+perToken*float64(tokens))*(0.95+0.1*draw.Float64())), tokens, slowdown)
	}
	gotWork, gotPerToken, _ := learned.Milliseconds()
	if math.Abs(gotWork-work) > 3 || math.Abs(gotPerToken-perToken) > 0.0003 {
		t.Errorf("%.2f ms of work and %.5f ms a token; want %.2f and %.5f", gotWork, gotPerToken, work, perToken)
	}
}

func TestHandoverIsUnknownIfSamplesAreAlike(t *testing.T) {
	var learned Handover
	for range 50 {
		learned.Observe(millis(30), 1000, 1)
	}
	if _, _, known := learned.Milliseconds(); known {
		t.Error("equal samples tell the parts apart")
	}
}
