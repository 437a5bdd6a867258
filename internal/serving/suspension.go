package serving

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tinarch/tinarch/internal/clock"
)

// suspensionEvery is the time between two looks for suspensions of the machine: they are
// logged and counted, while what must not outlast one reads clock.Boot itself.
const suspensionEvery = 2 * time.Second

// watchSuspensions tells of each time for which the machine was suspended, until ctx ends.
func (n *Node) watchSuspensions(ctx context.Context, metrics prometheus.Registerer) {
	counted := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_suspended_seconds_total", Help: "Time for which the machine was suspended while this process ran.",
	})
	metrics.MustRegister(counted)
	if err := clock.BoottimeError(); err != nil {
		n.log.WithField("cause", err.Error()).Warn("the clock since boot can't be read: a lease may be taken for younger than it is after a suspension")
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
