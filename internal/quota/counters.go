package quota

import "time"

// Counters are what one incarnation of a node has used of an account since its start. Both
// only rise, so that messages may be lost, repeated and overtaken: the higher ones hold.
type Counters struct {
	// Taken is what it was charged, and Returned what of that proved not to have run.
	Taken, Returned float64
}

// Net is what was used.
func (c Counters) Net() float64 { return c.Taken - c.Returned }

// Merge returns the newer of each of the counters.
func (c Counters) Merge(other Counters) Counters {
	return Counters{Taken: max(c.Taken, other.Taken), Returned: max(c.Returned, other.Returned)}
}

// Report is what a node tells a keeper of an account.
type Report struct {
	Counters
	// Age is the time since the present use began, after a pause or the incarnation's start,
	// and Before is the net of the counters then.
	Age    time.Duration
	Before float64
	// Limit is the tenant's by the configuration of Version.
	Limit   Limit
	Version uint64
}

// AccountName names the account of a tenant. Counters of different units don't mix.
func AccountName(tenant string, unit Unit) string { return string(unit) + " " + tenant }
