package scheduling

// Costs are the parameters of the cost model that are not learned. Prices are fractions of a
// request's objective, so that they stay in proportion to its duration on engines of any speed.
// Durations come from measurements (EngineTimes, Candidate.PrefillCoefficients).
type Costs struct {
	// Move is the price of transferring the KV cache of a whole prompt between engines.
	Move float64
	// Reread is the price of prefilling a whole prompt that some engine already has cached.
	Reread float64
	// NotHomeFactor multiplies Reread where a prompt is prefilled at an engine at which other
	// nodes do not look for it, so that one of them soon prefills it again elsewhere.
	NotHomeFactor float64
	// OtherZone is the price of leaving the node's zone, charged for each worker involved.
	OtherZone float64
	// OtherRegion is the price of leaving the node's region, in addition to the round trip:
	// traffic between regions is expensive.
	OtherRegion float64
	// Running is the price of each request that already runs at a decode engine.
	Running float64
	// Failure is multiplied by a worker's failure rate.
	Failure float64
	// Avoided is the price of a worker whose circuit breaker is open (Candidate.Avoid).
	Avoided float64
	// MemoryPressure is the price of running where an engine's KV cache is full.
	MemoryPressure float64
	// LatePast is the fraction of the objective after which a request counts as late and yields
	// to those that can be in time.
	LatePast float64
	// LateShare bounds the predicted time to the first byte of a late request, as a fraction of
	// the time until its caller leaves. LateFill is the fraction of a worker's slots and memory
	// up to which late requests may fill it. LateQueue is the prefill queue of an engine, as a
	// fraction of the objective, up to which the engine still counts as free: about the time
	// that a short prompt needs when most of it has been prefilled.
	LateShare, LateFill, LateQueue float64
	// Hold makes late requests wait at their node for a free engine. It pays off where the
	// share of requests that are served at all is what counts; docs/design/late-work.md has the
	// figures.
	Hold bool

	// Interference is the price of a millisecond of prefill at a decode engine for each request
	// that runs there, in milliseconds: prefill stalls their streams.
	Interference float64
	// GapFactor makes interference grow with the square of the time for which the engine
	// prefills. Interference doubles when that time reaches 1/GapFactor of the pause allowed
	// between two events of a stream.
	GapFactor float64
	// MinFetchShare is the smallest fraction of a prompt that is worth fetching from another
	// engine.
	MinFetchShare float64

	// Opaque are the parameters for opaque requests, those that are not for model engines.
	Opaque OpaqueCosts
}

// OpaqueCosts are the parameters for opaque requests. The resulting costs are compared only
// with each other.
type OpaqueCosts struct {
	// Fill is multiplied by the square of the fraction of a worker's slots in use, and Waiting
	// by the number of requests beyond its slots.
	Fill, Waiting float64
	// Turn is multiplied by the milliseconds until a rate-limited worker accepts another
	// request.
	Turn float64
	// OtherZone, OtherRegion, Failure and Avoided are as in Costs.
	OtherZone, OtherRegion, Failure, Avoided float64
}

// DefaultCosts returns parameters that were found by measurement. docs/design/decisions.md
// describes the measurements and the effect of halving and doubling each parameter.
func DefaultCosts() Costs {
	return Costs{
		Move:           0.04,
		Reread:         0.7,
		NotHomeFactor:  1.3,
		OtherZone:      0.015,
		OtherRegion:    0.03,
		Running:        0.002,
		Failure:        0.7,
		Avoided:        4,
		MemoryPressure: 0.4,
		LatePast:       1,
		LateShare:      0.6,
		LateFill:       0.75,
		LateQueue:      0.02,
		Interference:   0.5,
		GapFactor:      2,
		MinFetchShare:  0.02,
		Opaque:         OpaqueCosts{Fill: 20, Waiting: 50, Turn: 1, OtherZone: 6, OtherRegion: 15, Failure: 400, Avoided: 2000},
	}
}
