package scheduling

// admits reports whether a worker may get the request. A prefill engine writes nothing into the
// stream, so its software version doesn't matter.
func (r Request) admits(id string, prefill bool, software string) bool {
	return !r.Excluded[id] && (prefill || r.MayContinueAt(software))
}

// MayContinueAt reports whether workers with a software version may run the request.
func (r Request) MayContinueAt(software string) bool { return !r.Bound || software == r.Software }

// admitsCandidate is admits for a candidate.
func (r Request) admitsCandidate(c Candidate) bool { return r.admits(c.ID, c.Prefill, c.Software) }
