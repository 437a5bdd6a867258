package serving

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/stagecontrol"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Intervals and limits for asking engines how slow their hosts are.
const (
	// slowdownPoll is how often a node looks whether it has become designated.
	slowdownPoll = 250 * time.Millisecond
	// slowdownTimeout bounds one call. Health paths answer at once.
	slowdownTimeout = 500 * time.Millisecond
)

// askSlowdowns asks the engines once how slow their hosts are, at the first start of the whole
// system and if this node is designated, so that engines can be prepared by their speed before
// the first request. Later, each answer states it.
func (n *Node) askSlowdowns(ctx context.Context) {
	if !n.settings.Node.FirstStart || n.settings.Overload.ColdStart == settings.Never {
		return
	}
	survey := newSlowdownSurvey(n.unstatedEngines, n.selects(n.settings.Overload.ColdStart), n.askSlowdown)
	ticker := time.NewTicker(slowdownPoll)
	defer ticker.Stop()
	for !n.anyAsked() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.Designated() {
			n.askServices(ctx, survey)
		}
	}
}

// askServices asks the engines that have not been asked yet.
func (n *Node) askServices(ctx context.Context, survey *slowdownSurvey) {
	for _, service := range n.servicesByName() {
		if service.Engine == nil || service.HealthPath == "" {
			continue
		}
		if outcome := survey.askEngines(ctx, service.Name); outcome.asked > 0 {
			n.log.WithFields(logrus.Fields{
				"service": service.Name, "asked": outcome.asked, "answered": outcome.answered, "stated": outcome.stated,
			}).Info("engines were asked how slow their hosts are")
		}
	}
}

// unstatedEngines returns the engines of a service that have not stated a slowdown.
func (n *Node) unstatedEngines(service string) []worker.Worker {
	var engines []worker.Worker
	for _, engine := range n.registry.Engines(service, time.Now()) {
		if listed, found := n.registry.Get(engine.ID); found && engine.Slowdown == 0 {
			engines = append(engines, listed)
		}
	}
	return engines
}

// anyAsked reports whether a caller has asked an engine service for anything.
func (n *Node) anyAsked() bool {
	return slices.ContainsFunc(n.engineServices(), func(service stagecontrol.Service) bool { return !service.Empty })
}

// askSlowdown asks one engine. One that doesn't answer counts as one of unknown speed.
func (n *Node) askSlowdown(ctx context.Context, engine worker.Worker) slowdownAnswer {
	service := n.serviceOf(engine)
	if service == nil {
		return slowdownAnswer{}
	}
	request := n.platform.HealthRequest(engine, service.HealthPath)
	if request == nil {
		return slowdownAnswer{}
	}
	callCtx, cancel := context.WithTimeout(ctx, slowdownTimeout)
	defer cancel()
	answer, err := n.calls().Do(callCtx, engine.ID, engine.Address, noConnectionLimit, request)
	if err != nil {
		n.log.WithFields(logrus.Fields{"worker": engine.ID, "cause": err.Error()}).Info("an engine did not state its slowdown")
		return slowdownAnswer{}
	}
	_ = workerconn.Discard(answer, maxCacheList)
	stated := n.platform.Reply(answer.Status, answer.Header).HostSlowdown > 0 // recorded by calls
	return slowdownAnswer{answered: true, stated: stated}
}
