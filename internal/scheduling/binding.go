package scheduling

// admits reports whether a worker may get the request. A prefill engine writes nothing into the
// stream, so its software version doesn't matter.
func (r Request) admits(o Outline) bool {
	return !r.Excluded[o.ID] && (!o.Draining || r.Bound) && (o.Prefill || r.MayContinueAt(o.Software))
}

// MayContinueAt reports whether workers with a software version may run the request.
func (r Request) MayContinueAt(software string) bool { return !r.Bound || software == r.Software }

// admitsCandidate is admits for a candidate.
func (r Request) admitsCandidate(c Candidate) bool { return r.admits(c.outline()) }
