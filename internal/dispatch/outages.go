package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/retry"
)

// returnPart is the part of the time until a service is expected back over which callers come
// back after that.
const returnPart = 0.5

// observeOutage records how a call ended. Where no worker ran it, it returns when its caller may
// find the service back, zero where it doesn't seem to be away.
func (s *session) observeOutage(code result.Code) time.Duration {
	switch code {
	case result.OK:
		s.outageOf(func(outage *retry.Outage) { outage.Served(time.Now()) })
	case result.NoEngine, result.RetriesExhausted:
		return s.expectedBack()
	}
	return 0
}

// expectedBack records that no worker ran the call, and returns when its caller may find the
// service back.
func (s *session) expectedBack() time.Duration {
	var left time.Duration
	s.outageOf(func(outage *retry.Outage) {
		now := time.Now()
		outage.Failed(now)
		left = outage.ExpectedRemaining(now)
	})
	return left + time.Duration(returnPart*rand.Float64()*float64(left))
}

// outageOf uses what is known of the outages of the call's service.
func (s *session) outageOf(use func(outage *retry.Outage)) {
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
