package latency

import "math"

// thousand and million scale the terms so that all are of similar size.
const (
	thousand = 1e3
	million  = 1e6
)

// Coefficients are the terms of a model, in milliseconds: the time of a reading is
// Fixed + PerThousand × tokens/1000 + PerMillion × pairs/1000000, where the pairs are
// those of each token that is read with each before it in the prompt.
type Coefficients struct {
	Fixed       float64 `json:"f"`
	PerThousand float64 `json:"t"`
	PerMillion  float64 `json:"m"`
}

// guess is what is assumed of an engine that nothing is known of.
var guess = Coefficients{Fixed: guessFixed, PerThousand: guessPerThousand, PerMillion: guessPerMillion}

// Milliseconds predicts the time to read tokens after a context of others.
func (c Coefficients) Milliseconds(tokens, context int) float64 {
	return c.Fixed + c.VariableMilliseconds(tokens, context)
}

// VariableMilliseconds is Milliseconds without the fixed part: the time for which a reading holds up
// others.
func (c Coefficients) VariableMilliseconds(tokens, context int) float64 {
	return c.PerThousand*float64(tokens)/thousand + c.PerMillion*pairs(tokens, context)/million
}

// pairs counts, for each token that is read, those before it.
func pairs(tokens, context int) float64 {
	return float64(tokens) * (float64(context) + float64(tokens)/2)
}

// Scaled returns the terms of an engine that is slower by a factor.
func (c Coefficients) Scaled(by float64) Coefficients {
	return Coefficients{c.Fixed * by, c.PerThousand * by, c.PerMillion * by}
}

// valid reports whether the terms are those of some engine.
func (c Coefficients) valid() bool {
	for _, term := range []float64{c.Fixed, c.PerThousand, c.PerMillion} {
		if math.IsNaN(term) || math.IsInf(term, 0) || term < 0 {
			return false
		}
	}
	return c.PerThousand > 0 || c.PerMillion > 0
}

// terms are the factors of the coefficients.
func terms(tokens, context int) [3]float64 {
	return [3]float64{1, float64(tokens) / thousand, pairs(tokens, context) / million}
}
