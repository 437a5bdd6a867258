package serving

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/workerconn"
)

// watchDroppedAnswers logs and counts answers of workers that aren't taken for those of the requests that wait.
func (n *Node) watchDroppedAnswers(metrics prometheus.Registerer) {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tinarch_worker_answers_dropped_total", Help: "Answers of workers that were not taken for those of the requests that waited.",
	})
	metrics.MustRegister(dropped)
	n.pool.SetDropped(func(key string, request *workerconn.Request, found []string) {
		dropped.Inc()
		n.log.WithFields(logrus.Fields{"worker": key, "id": request.ID, "target": request.Target, "found": found}).
			Info("an answer of a worker was dropped: it belongs to another request")
	})
}
