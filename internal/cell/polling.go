package cell

import (
	"context"
	"sync"
)

// pollStatus asks all engines for their status. Followers poll at half the leader's rate,
// because they place requests only while there is no leader.
func (s *Service) pollStatus(ctx context.Context) {
	if s.localReplica() == nil {
		return // this node is no longer a member of the cell's group
	}
	s.mu.Lock()
	targets := s.state.PollTargets()
	skip := s.leading == 0 && s.now()%(statusEveryFollower) >= statusEvery
	s.mu.Unlock()
	if skip {
		return
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

// forEachEngine calls work for all engines concurrently and waits for all calls. An engine that
// doesn't answer delays the next poll by at most engineTimeout.
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
