package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// Load and bounds of runs with Options.Overload.
const (
	// prefillRate is how many tokens an engine reads a second: a prompt of 3000 tokens takes
	// 0.6 s, over a third of the objective, so that bursts make requests late.
	prefillRate = 5000
	// neighbourSlowdown is the factor by which a host's neighbours slow a worker down for
	// neighbourSpan.
	neighbourSlowdown = 2.5
	neighbourSpan     = 600 * time.Millisecond
	// burstCallers send with hardly a pause during a burst, all for the first tenant. Bursts fill the
	// first half of each burstPeriod until the quiet period.
	burstCallers = 36
	burstPeriod  = 4 * time.Second
	// endSlack is how long after a caller's deadline its answer may end.
	endSlack = 500 * time.Millisecond
	// leastShare is the smallest fraction of the share served over all tenants that may be
	// served of one tenant's requests in the quiet period.
	leastShare = 0.25
)

// hostFactors are the usual slowdowns of the workers' hosts.
var hostFactors = []float64{0.7, 1, 1.7}

// overloadSettings returns the nodes' settings for decisions under overload. They are empty
// unless Options.Overload is set, since an earlier build may not know them.
func (o Options) overloadSettings() settings.RoutedOverload {
	if !o.Overload {
		return settings.RoutedOverload{}
	}
	return settings.RoutedOverload{
		ColdStart: settings.Uneven, SingleRead: settings.Uneven, Waiting: settings.Uneven, SpreadRetries: settings.Uneven,
	}
}

// makeUneven gives a worker the speed of its host.
func (s *site) makeUneven(worker *soakWorker) {
	if s.options.Uneven {
		worker.SetHostSlowdown(s.hostFactor(worker))
	}
}

// hostFactor returns the usual slowdown of a worker's host.
func (s *site) hostFactor(worker *soakWorker) float64 {
	number := int(worker.ID()[len(worker.ID())-1])
	return hostFactors[number%len(hostFactors)]
}

// slowHost makes a host's neighbours slow a worker down for a while.
func (s *site) slowHost(ctx context.Context, _ time.Duration) string {
	worker := s.randomWorker()
	usual := s.hostFactor(worker)
	worker.SetHostSlowdown(usual * neighbourSlowdown)
	sleep(ctx, neighbourSpan)
	worker.SetHostSlowdown(usual)
	return "slowed the host of " + worker.ID()
}

// bursting reports whether a burst is due.
func (l *load) bursting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quietSince.IsZero() && time.Since(l.site.started)%burstPeriod < burstPeriod/2
}

// sendBursts runs a caller that sends during bursts only.
func (l *load) sendBursts(ctx context.Context, number int) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	random := l.random(callerCount + 1 + number)
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, eventPause)
		if !l.bursting() {
			continue
		}
		got := l.sendOne(transport, random, number*tenantCount, fmt.Sprintf("b%03x%012x", number, count))
		l.mu.Lock()
		l.observations = append(l.observations, got)
		l.mu.Unlock()
	}
}

// overloadViolations returns the callers that were kept past their deadline without a fault of
// their node, and the tenants that were served far less than others in the quiet period.
func (l *load) overloadViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := keptTooLong(l.observations, l.site.limits.inFault)
	return append(violations, underserved(l.observations, l.quietSince)...)
}

func keptTooLong(observations []observation, inFault func(node string, at time.Time) bool) []string {
	var violations []string
	for _, got := range observations {
		due := got.sent.Add(deadlineMs*time.Millisecond + endSlack)
		if got.ended.After(due) && !inFault(got.node, got.sent) && !inFault(got.node, due) {
			violations = append(violations, fmt.Sprintf("%s %s: %s kept its caller for %v, %d ms were left", got.class.name, got.id, got.node, got.ended.Sub(got.sent).Round(time.Millisecond), deadlineMs))
		}
	}
	return violations
}

func underserved(observations []observation, quietSince time.Time) []string {
	sent, served := make(map[string]int), make(map[string]int)
	allSent, allServed := 0, 0
	for _, got := range observations {
		if got.probe || got.abandoned || quietSince.IsZero() || got.sent.Before(quietSince.Add(quietPeriod/2)) {
			continue
		}
		sent[got.tenant]++
		allSent++
		if got.status == http.StatusOK && got.err == nil {
			served[got.tenant]++
			allServed++
		}
	}
	var violations []string
	for _, tenant := range slices.Sorted(maps.Keys(sent)) {
		share := float64(allServed) / float64(allSent)
		if float64(served[tenant]) < leastShare*share*float64(sent[tenant]) {
			violations = append(violations, fmt.Sprintf("%s: %d of %d requests were served in the quiet period, %d of %d of all tenants", tenant, served[tenant], sent[tenant], allServed, allSent))
		}
	}
	return violations
}

// overloadOptions returns the options of a worker whose prompts take time to read.
func (o Options) overloadOptions(worker fleetworker.Options) fleetworker.Options {
	if o.Overload && worker.Stage != "" {
		worker.PrefillRate = prefillRate
	}
	return worker
}
