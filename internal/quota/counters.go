package quota

import "time"

// Counters hold what one incarnation of a node has charged to an account since it started. Both
// only increase, so messages may be lost, duplicated or reordered: the higher values are the
// newer ones.
type Counters struct {
	// Taken is the total charged; Returned is the part of it for requests that didn't run.
	Taken, Returned float64
}

// Net returns the usage after refunds.
func (c Counters) Net() float64 { return c.Taken - c.Returned }

// Merge returns the higher of each of the counters.
func (c Counters) Merge(other Counters) Counters {
	return Counters{Taken: max(c.Taken, other.Taken), Returned: max(c.Returned, other.Returned)}
}

// Report is a node's report of its usage of an account to a keeper.
type Report struct {
	Counters
	// Age is the time since the current period of use began, after a pause or the start of the
	// incarnation; Before is the net usage at that time.
	Age    time.Duration
	Before float64
	// Limit is the tenant's limit in configuration version Version.
	Limit   Limit
	Version uint64
}

// AccountName returns the name of a tenant's account for a unit. Each unit has its own account,
// because counters of different units can't be added.
func AccountName(tenant string, unit Unit) string { return string(unit) + " " + tenant }
