package serving

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/stagecontrol"
	"github.com/tinarch/tinarch/internal/worker"
)

// Intervals and limits for asking engines how slow their hosts are.
const (
	// slowdownPoll is how often a node looks whether it has become designated.
	slowdownPoll = 250 * time.Millisecond
	// slowdownTimeout bounds one call. Health paths answer at once.
	slowdownTimeout = 500 * time.Millisecond
	// slowdownCalls is the number of calls under way at once: few enough for the smallest node,
	// and enough for a thousand engines to answer before engines are prepared.
	slowdownCalls = 8
	// slowdownSample is the number of answers without a slowdown after which no more engines of
	// a service are asked.
	slowdownSample = 3
)

// askSlowdowns asks the engines once how slow their hosts are, at the first start of the whole
// system and if this node is designated, so that engines can be prepared by their speed before
// the first request. Later, each answer states it.
func (n *Node) askSlowdowns(ctx context.Context) {
	if !n.settings.Node.FirstStart || n.settings.Overload.ColdStart == settings.Never {
		return
	}
	survey := slowdownSurvey{node: n, asked: make(map[string]bool), silent: make(map[string]int)}
	ticker := time.NewTicker(slowdownPoll)
	defer ticker.Stop()
	for !n.anyAsked() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.designated() {
			survey.askServices(ctx)
		}
	}
}

// anyAsked reports whether a caller has asked an engine service for anything.
func (n *Node) anyAsked() bool {
	return slices.ContainsFunc(n.engineServices(), func(service stagecontrol.Service) bool { return !service.Empty })
}

// slowdownSurvey asks each engine once.
type slowdownSurvey struct {
	node  *Node
	asked map[string]bool
	// silent counts the engines that answered without a slowdown, by service.
	silent map[string]int
}

// askServices asks the engines that have not been asked yet.
func (s *slowdownSurvey) askServices(ctx context.Context) {
	for _, service := range s.node.servicesByName() {
		if service.Engine == nil || service.HealthPath == "" {
			continue
		}
		if engines := s.unknown(service.Name); len(engines) > 0 && s.goesOn(service.Name) {
			s.askEngines(ctx, service, engines)
		}
	}
}

// unknown returns the engines of a service of unknown speed that have not been asked.
func (s *slowdownSurvey) unknown(service string) []worker.Worker {
	var engines []worker.Worker
	for _, engine := range s.node.registry.Engines(service, time.Now()) {
		listed, found := s.node.registry.Get(engine.ID)
		if found && engine.Slowdown == 0 && !s.asked[engine.ID] {
			engines = append(engines, listed)
		}
	}
	return engines
}

// selected reports whether engines of a service are prepared by what is known of it.
func (s *slowdownSurvey) selected(service string) bool {
	return s.node.selects(s.node.settings.Overload.ColdStart)(service)
}

// goesOn reports whether more engines of a service are worth asking: once a few have stated no
// slowdown, the others won't either.
func (s *slowdownSurvey) goesOn(service string) bool {
	return s.selected(service) || s.silent[service] < slowdownSample
}

// askEngines asks engines of a service for as long as it is worth it, a few at first.
func (s *slowdownSurvey) askEngines(ctx context.Context, service *routing.Service, engines []worker.Worker) {
	stated, asked := 0, 0
	for asked < len(engines) && s.goesOn(service.Name) {
		batch := engines[asked:min(asked+slowdownSample, len(engines))]
		if s.selected(service.Name) {
			batch = engines[asked:]
		}
		asked += len(batch)
		stated += s.askAll(ctx, service, batch)
	}
	s.node.log.WithFields(logrus.Fields{
		"service": service.Name, "engines": len(engines), "asked": asked, "stated": stated, "selected": s.selected(service.Name),
	}).Info("engines were asked how slow their hosts are")
}

// slowdownAnswer is the outcome of asking one engine.
type slowdownAnswer struct{ answered, stated bool }

// askAll asks engines, a few at a time, and returns how many stated a slowdown.
func (s *slowdownSurvey) askAll(ctx context.Context, service *routing.Service, engines []worker.Worker) (stated int) {
	slots := make(chan struct{}, slowdownCalls)
	answers := make([]slowdownAnswer, len(engines))
	var calls sync.WaitGroup
	for i, engine := range engines {
		s.asked[engine.ID] = true
		slots <- struct{}{}
		calls.Go(func() {
			answers[i] = s.node.askSlowdown(ctx, service, engine)
			<-slots
		})
	}
	calls.Wait()
	for _, answer := range answers {
		switch {
		case answer.stated:
			stated++
		case answer.answered:
			s.silent[service.Name]++
		}
	}
	return stated
}

// askSlowdown asks one engine. One that doesn't answer counts as one of unknown speed.
func (n *Node) askSlowdown(ctx context.Context, service *routing.Service, engine worker.Worker) slowdownAnswer {
	callCtx, cancel := context.WithTimeout(ctx, slowdownTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, engine.ID, engine.Address, noConnectionLimit, n.platform.HealthRequest(engine, service.HealthPath))
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": engine.ID, "cause": err.Error()}).Info("an engine did not state its slowdown")
		return slowdownAnswer{}
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxCacheList)) // so that the connection can be reused
	_ = answer.Body.Close()
	factor := n.platform.Reply(answer.Status, answer.Header).HostSlowdown
	if factor > 0 {
		n.registry.ObserveHostSlowdown(engine.ID, factor, time.Now())
	}
	return slowdownAnswer{answered: true, stated: factor > 0}
}
