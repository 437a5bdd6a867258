package scheduling

import "slices"

// admits reports whether a worker may get the request. A prefill engine writes nothing into the
// stream, so its software version doesn't matter.
func (r Request) admits(o Outline) bool {
	return !r.Excluded[o.ID] && (!o.Draining || r.Bound) && (o.Prefill || r.MayRunAt(o.Software))
}

// MayRunAt reports whether workers with a software version may run the request.
func (r Request) MayRunAt(software string) bool {
	if r.Bound {
		return software == r.Software
	}
	return !r.Confined || slices.Contains(r.Versions, software)
}

// admitsCandidate is admits for a candidate.
func (r Request) admitsCandidate(c Candidate) bool { return r.admits(c.outline()) }
