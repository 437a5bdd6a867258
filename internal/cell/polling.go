package cell

import (
	"context"
	"sync"
)

// pollStatus reads what engines report of themselves. Followers look less often:
// they only place while there is no leader.
func (s *Service) pollStatus(ctx context.Context) {
	if s.localReplica() == nil {
		return // no member any more
	}
	s.mu.Lock()
	targets := s.state.PollTargets()
	skip := s.leading == 0 && s.now()%(statusEveryFollower) >= statusEvery
	s.mu.Unlock()
	if skip {
		return // followers look less often
	}
	s.forEachEngine(ctx, targets, func(pollCtx context.Context, target Machine) {
		status, err := s.engines.Status(pollCtx, target.Address)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state.ObserveStatus(s.now(), target.Name, status)
		s.dispatch()
	})
}

func (s *Service) pollCacheEvents(ctx context.Context) {
	s.mu.Lock()
	targets := s.state.PollTargets()
	leading := s.leading != 0
	s.mu.Unlock()
	if !leading {
		return
	}
	s.forEachEngine(ctx, targets, func(pollCtx context.Context, target Machine) {
		s.mu.Lock()
		from := s.state.NextCacheEvent(target.Name)
		s.mu.Unlock()
		page, err := s.engines.CacheEvents(pollCtx, target.Address, from)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state.ObserveCacheEvents(s.now(), target.Name, page)
	})
}

// forEachEngine does work for all engines side by side, and waits: an engine that
// does not answer delays the others by at most its timeout.
func (s *Service) forEachEngine(ctx context.Context, targets []Machine, work func(context.Context, Machine)) {
	pollCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	var polls sync.WaitGroup
	for _, target := range targets {
		polls.Add(1)
		go func() {
			defer polls.Done()
			work(pollCtx, target)
		}()
	}
	polls.Wait()
}
