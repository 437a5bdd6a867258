package latency

import "math"

// thousand and million scale the terms of the model so that all are of similar size.
const (
	thousand = 1e3
	million  = 1e6
)

// Coefficients are those of a model of prefill time, in milliseconds: prefilling tokens takes
// Fixed + PerThousand × tokens/1000 + PerMillion × pairs/1000000. A pair is a token that is
// prefilled and one that precedes it in the prompt, since attention relates each token to all
// before it.
type Coefficients struct {
	Fixed       float64 `json:"f"`
	PerThousand float64 `json:"t"`
	PerMillion  float64 `json:"m"`
}

// guess is assumed for an engine that was not measured yet.
var guess = Coefficients{Fixed: guessFixed, PerThousand: guessPerThousand, PerMillion: guessPerMillion}

// Milliseconds predicts the time to prefill tokens that follow a cached context.
func (c Coefficients) Milliseconds(tokens, context int) float64 {
	return c.Fixed + c.VariableMilliseconds(tokens, context)
}

// VariableMilliseconds is Milliseconds without the fixed part. For this time a prefill delays
// others.
func (c Coefficients) VariableMilliseconds(tokens, context int) float64 {
	return c.PerThousand*float64(tokens)/thousand + c.PerMillion*pairs(tokens, context)/million
}

// pairs adds up, over the tokens that are prefilled, the number of tokens before each.
func pairs(tokens, context int) float64 {
	return float64(tokens) * (float64(context) + float64(tokens)/2)
}

// Scaled returns the coefficients of an engine that is slower by a factor.
func (c Coefficients) Scaled(by float64) Coefficients {
	return Coefficients{c.Fixed * by, c.PerThousand * by, c.PerMillion * by}
}

// valid reports whether the coefficients are possible for an engine.
func (c Coefficients) valid() bool {
	for _, term := range []float64{c.Fixed, c.PerThousand, c.PerMillion} {
		if math.IsNaN(term) || math.IsInf(term, 0) || term < 0 {
			return false
		}
	}
	return c.PerThousand > 0 || c.PerMillion > 0
}

// regressors returns the values that the coefficients are multiplied by.
func (r Reading) regressors() [3]float64 {
	slowdown := r.slowdown()
	return [3]float64{1, slowdown * float64(r.Tokens) / thousand, slowdown * pairs(r.Tokens, r.Context) / million}
}
