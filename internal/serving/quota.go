package serving

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/nodeexchange"
	"github.com/tinarch/tinarch/internal/quota"
)

// quotas charges tenants through the exchange and counts the outcomes. It implements
// ingress.Quotas.
type quotas struct {
	exchange *nodeexchange.Exchange
	verdicts *prometheus.CounterVec
	returned prometheus.Counter
	silent   prometheus.Counter
	wait     prometheus.Histogram
}

// The values of the label "verdict". A private verdict is one that this node gave by itself,
// because no keeper of the quota answered.
const (
	verdictGranted        = "granted"
	verdictRefused        = "refused"
	verdictPrivateGranted = "private_granted"
	verdictPrivateRefused = "private_refused"
)

// newQuotas configures the exchange to enforce the tenants' quotas.
func (n *Node) newQuotas(registry prometheus.Registerer) *quotas {
	configured := n.settings.Quota
	n.exchange.SetQuota(quota.Tolerance{
		Window: seconds(configured.WindowSeconds), Overshoot: configured.Overshoot, Slack: configured.Slack,
	})
	q := &quotas{
		exchange: n.exchange,
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tinarch_quota_verdicts_total", Help: "Requests of tenants with a limit, by what became of them.",
		}, []string{"verdict"}),
		returned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_quota_returned_total", Help: "Charges given back, since the request did not run.",
		}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tinarch_quota_unanswered_total", Help: "Questions to keepers of quotas that got no answer in time.",
		}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tinarch_quota_wait_seconds", Help: "Time until a tenant's quota was decided.",
			Buckets: []float64{.0005, .001, .002, .005, .01, .015, .03, .06, .1},
		}),
	}
	registry.MustRegister(q.verdicts, q.returned, q.silent, q.wait)
	return q
}

// Charge implements ingress.Quotas.
func (q *quotas) Charge(ctx context.Context, claim quota.ChargeRequest) quota.Outcome {
	verdict := q.exchange.ChargeQuota(ctx, claim)
	q.verdicts.WithLabelValues(verdictLabel(verdict)).Inc()
	q.silent.Add(float64(verdict.Unanswered))
	q.wait.Observe(verdict.Took.Seconds())
	return verdict
}

func verdictLabel(verdict quota.Outcome) string {
	switch {
	case verdict.Private && verdict.Granted:
		return verdictPrivateGranted
	case verdict.Private:
		return verdictPrivateRefused
	case verdict.Granted:
		return verdictGranted
	}
	return verdictRefused
}

// Return implements ingress.Quotas.
func (q *quotas) Return(charge quota.Charge) {
	q.returned.Inc()
	q.exchange.ReturnQuota(charge)
}
