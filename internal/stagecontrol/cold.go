package stagecontrol

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/stageplan"
)

// Metrics tells how often and where the designated node plans for empty caches.
type Metrics struct {
	// ColdPhases counts the regions of services by the phase of their caches, zero at a node
	// that isn't designated.
	ColdPhases *prometheus.GaugeVec
	// ColdBegun counts the phases that began.
	ColdBegun *prometheus.CounterVec
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		ColdPhases: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tinarch_cold_caches", Help: "Regions of services whose stages are planned for empty caches, by phase.",
		}, []string{"phase"}),
		ColdBegun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_cold_phases_total", Help: "Times that planning for empty caches began, by phase.",
		}, []string{"phase"}),
	}
	registry.MustRegister(metrics.ColdPhases, metrics.ColdBegun)
	return metrics
}

// coldKey names the engines that a phase is about.
type coldKey struct{ service, region string }

// coldPhase is a phase of caches and when it began.
type coldPhase struct {
	phase stageplan.ColdPhase
	since time.Time
}

// watchColdPhases logs and counts each beginning and end of planning for empty caches.
func (c *Controller) watchColdPhases(service string, planner *stageplan.RegionalPlanner, engines []stageplan.Worker, now time.Time) {
	for region, state := range planner.ColdStates() {
		key := coldKey{service, region}
		before, known := c.coldPhases[key]
		if !known {
			before = coldPhase{phase: stageplan.Warm, since: now}
		}
		if state.Phase == before.phase {
			continue
		}
		c.coldPhases[key] = coldPhase{phase: state.Phase, since: now}
		c.countPhase(before.phase, -1)
		c.countPhase(state.Phase, 1)
		prefill, decode := countStages(engines, region)
		demand := planner.Planner(region).Demand()
		c.options.Log.WithFields(logrus.Fields{
			"service": service, "region": region, "phase": state.Phase, "phase_before": before.phase,
			"before_ms": now.Sub(before.since).Milliseconds(), "unread_share": state.UnreadShare,
			"spareable_share": state.SpareableShare, "lasting_share": state.Lasting, "withheld": state.Withheld,
			"prefill": prefill, "decode": decode,
			"reading_demand": demand.PrefillEngines, "writing_demand": demand.DecodeEngines,
		}).Info("the phase of caches changed")
	}
}

// countStages counts the engines of a region by the stage that they have or change to.
func countStages(engines []stageplan.Worker, region string) (prefill, decode int) {
	for _, engine := range engines {
		switch {
		case engine.Region != region:
		case engine.Prefill:
			prefill++
		default:
			decode++
		}
	}
	return prefill, decode
}

func (c *Controller) countPhase(phase stageplan.ColdPhase, change float64) {
	if c.options.Metrics == nil || phase == stageplan.Warm {
		return
	}
	c.options.Metrics.ColdPhases.WithLabelValues(string(phase)).Add(change)
	if change > 0 {
		c.options.Metrics.ColdBegun.WithLabelValues(string(phase)).Inc()
	}
}

// endPhases stops counting phases while this node isn't designated.
func (c *Controller) endPhases() {
	for key, phase := range c.coldPhases {
		c.countPhase(phase.phase, -1)
		delete(c.coldPhases, key)
	}
}
