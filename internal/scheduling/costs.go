package scheduling

// Costs are the figures of the cost model. Times are in milliseconds.
type Costs struct {
	// Fixed is the time of a request besides reading.
	Fixed float64
	// Hop is what a second worker adds to a request.
	Hop float64
	// MovePerToken is the time and price of moving one token's KV cache.
	MovePerToken float64
	// Fetch is the time of a fetch besides its tokens.
	Fetch float64
	// FetchFrom is the fewest tokens that are worth a fetch.
	FetchFrom int
	// Interference is the price of a millisecond of reading at a decode engine,
	// for each request that runs there: it holds up their streams.
	Interference float64
	// RereadPerToken is the price of reading a shared token again.
	RereadPerToken float64
	// OtherZone is the price of leaving the node's zone, once for each worker.
	OtherZone float64
	// Running is what each request that runs at a decode engine adds.
	Running float64
	// Failure is multiplied with a worker's failure rate.
	Failure float64
	// Avoided is added for a worker that failed just now.
	Avoided float64
	// MemoryPressure is added where an engine's memory is full.
	MemoryPressure float64
	// RefusePast is the share of the objective past which a request is refused.
	RefusePast float64
}

// DefaultCosts returns the figures measured so far; docs/design/deployment.md
// tells how.
func DefaultCosts() Costs {
	return Costs{
		Fixed:          30,
		Hop:            12,
		MovePerToken:   0.0028,
		Fetch:          8,
		FetchFrom:      256,
		Interference:   0.5,
		RereadPerToken: 0.0375,
		OtherZone:      6,
		Running:        1.5,
		Failure:        400,
		Avoided:        2000,
		MemoryPressure: 300,
		RefusePast:     1,
	}
}
