package serving

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/clock"
)

// suspensionEvery is how often to look for suspensions of the machine, to log and count them.
// Whatever must not outlast a suspension reads clock.Boottime itself.
const suspensionEvery = 2 * time.Second

// watchSuspensions logs and counts the times for which the machine was suspended, until ctx
// ends.
func (n *Node) watchSuspensions(ctx context.Context, metrics prometheus.Registerer) {
	counted := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_suspended_seconds_total", Help: "Time for which the machine was suspended while this process ran.",
	})
	metrics.MustRegister(counted)
	if err := clock.BoottimeError(); err != nil {
		n.log.WithField("cause", err.Error()).Warn("the boot-time clock can't be read: after a suspension a lease may be used beyond its end")
	}
	watched := clock.NewSuspensionDetector(clock.Boottime, time.Now)
	n.work.Go(func() {
		for sleepFor(ctx, suspensionEvery) {
			if slept := watched.SinceLastCall(); slept > 0 {
				counted.Add(slept.Seconds())
				n.log.WithField("suspended_ms", slept.Milliseconds()).Warn("the machine was suspended")
			}
		}
	})
}
