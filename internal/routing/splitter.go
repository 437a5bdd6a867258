package routing

import "sync"

// Splitter divides the requests of routes among their targets by weight, with smooth weighted
// round robin: any run of consecutive requests is divided as evenly as whole requests allow. It
// is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[splitKey]int
	start  func(total int) int
}

type splitKey struct{ route, service string }

// NewSplitter returns a splitter. start draws the initial credit of a target from [0, total),
// so that not all nodes begin with the same target.
func NewSplitter(start func(total int) int) *Splitter {
	return &Splitter{credit: make(map[splitKey]int), start: start}
}

// Choose returns the service that takes the next request of a route, or an empty string if all
// weights are zero.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := ""
	for _, target := range route.Targets {
		if target.Weight == 0 {
			continue
		}
		key := splitKey{route.Name, target.Service}
		if _, known := s.credit[key]; !known {
			s.credit[key] = s.start(total)
		}
		s.credit[key] += target.Weight
		if best == "" || s.credit[key] > s.credit[splitKey{route.Name, best}] {
			best = target.Service
		}
	}
	s.credit[splitKey{route.Name, best}] -= total
	return best
}
