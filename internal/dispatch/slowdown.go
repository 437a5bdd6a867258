package dispatch

import (
	"fmt"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/scheduling"
)

// slowdownSince returns the factor by which work took longer on a worker's host since the
// worker was described for a plan: the lower one of what was expected then and now, because a
// model counts a time that is too long for little, but one that is too short in full. It is
// zero if the service's workers state none.
func (s *session) slowdownSince(planned scheduling.Candidate) float64 {
	now := s.registry.HostFactor(planned.ID, time.Now())
	switch {
	case !now.Stated():
		return planned.Host.Present
	case !planned.Host.Stated():
		return now.Present
	}
	return min(planned.Host.Present, now.Present)
}

// describeHost returns what is expected of a worker's host, for the log: the factor at present,
// the usual one, both in percent, and the milliseconds since the last statement. It is empty if
// nobody states a factor.
func describeHost(factor latency.Factor) string {
	if !factor.Stated() {
		return ""
	}
	return fmt.Sprintf("%.0f/%.0f/%d", 100*factor.Present, 100*factor.Usual, factor.Age.Milliseconds())
}
