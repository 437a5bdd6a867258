package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/retry"
)

// retrySpreadShare bounds a random delay that is added to the time until a service is expected
// back, as a fraction of that time, so that callers do not all retry at once.
const retrySpreadShare = 0.5

// observeOutage records how a call ended. If no worker ran the call, it returns the time after
// which the caller may find the service back, zero if the service does not seem to be
// unavailable.
func (s *session) observeOutage(code result.Code) time.Duration {
	if s.bound && code != result.OK {
		return 0 // workers of other versions may serve
	}
	switch code {
	case result.OK:
		s.withOutage(func(outage *retry.Outage) { outage.Served(time.Now()) })
	case result.NoEngine, result.RetriesExhausted, result.WorkersUnreached:
		return s.recordUnserved()
	}
	return 0
}

// recordUnserved records that no worker ran the call, and returns the time after which the
// caller may find the service back.
func (s *session) recordUnserved() time.Duration {
	var left time.Duration
	s.withOutage(func(outage *retry.Outage) {
		now := time.Now()
		outage.Failed(now)
		left = outage.ExpectedRemaining(now)
	})
	return left + time.Duration(retrySpreadShare*rand.Float64()*float64(left))
}

// withOutage calls use with the outage estimate of the call's service.
func (s *session) withOutage(use func(outage *retry.Outage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.call.Service.Name
	outage, known := s.outages[service]
	if !known {
		outage = &retry.Outage{}
		s.outages[service] = outage
	}
	use(outage)
}
