package scheduling

// Costs are the figures of the cost model that aren't learned. Prices are shares of a
// request's objective, so that they keep their proportion to its time on any engines;
// times come from what was observed (Engine, Candidate.Reading).
type Costs struct {
	// Move is the price of moving the memory of a whole prompt between engines.
	Move float64
	// Reread is the price of reading a whole prompt again that some engine keeps.
	Reread float64
	// NotHomeFactor multiplies Reread where a prompt is read at an engine where other nodes don't
	// look for it, so that one of them reads it again soon.
	NotHomeFactor float64
	// OtherZone is the price of leaving the node's zone, once for each worker.
	OtherZone float64
	// OtherRegion is the price of leaving the node's region, besides the way there: bytes
	// between regions are dear.
	OtherRegion float64
	// Running is the price of each request that runs at a decode engine already.
	Running float64
	// Failure is multiplied with a worker's failure rate.
	Failure float64
	// Avoided is the price of a worker that failed just now.
	Avoided float64
	// MemoryPressure is the price of running where an engine's memory is full.
	MemoryPressure float64
	// LatePast is the share of the objective past which a request is late: it gives way to
	// others.
	LatePast float64
	// LateShare is the share of the time until its caller leaves up to which a late request
	// is held and served, LateFill that of a worker's slots and memory up to which it may
	// take any, and LateQueue that of the objective up to which an engine is free although
	// prompts are queued there: about the rest of a short one.
	LateShare, LateFill, LateQueue float64
	// Hold tells that late requests wait at their node for a free engine. It pays where the
	// share that is served at all is what counts; docs/design/late-work.md has the figures.
	Hold bool

	// Interference is the price of a millisecond of reading at a decode engine for each
	// request that runs there, in milliseconds: it holds up their streams.
	Interference float64
	// GapFactor has interference grow with the square of the time for which the engine reads:
	// it is doubled where that is GapFactor-th of the pause allowed between two events.
	GapFactor float64
	// MinFetchShare is the smallest part of a prompt that is worth a fetch.
	MinFetchShare float64

	// Opaque are the figures of requests that aren't for engines.
	Opaque OpaqueCosts
}

// OpaqueCosts are the figures of requests that aren't for engines. They are compared
// with each other only.
type OpaqueCosts struct {
	// Fill is multiplied with the square of the share of a worker's slots in use, and
	// Waiting with the requests past its slots.
	Fill, Waiting float64
	// Turn is multiplied with the milliseconds until a worker takes a further request.
	Turn float64
	// OtherZone, OtherRegion, Failure and Avoided are as in Costs.
	OtherZone, OtherRegion, Failure, Avoided float64
}

// DefaultCosts returns the figures measured so far; docs/design/decisions.md tells
// how, and what they are worth when halved and doubled.
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
