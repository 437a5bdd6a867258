package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/worker"
)

// observeLimit takes in what the head of an answer says of its worker's limit. The request was
// sent at a time, and the head came now.
func (s *session) observeLimit(id string, limit NamedLimit, sent time.Time) {
	if limit.Malformed != "" {
		s.metrics.MalformedLimits.Inc()
		s.log.WithFields(logrus.Fields{"id": s.call.ID, "worker": id, "limit": limit.Malformed}).
			Warn("a worker names a limit that can't be read; what it said before holds")
		return
	}
	s.registry.ObserveLimit(id, s.call.ID, worker.LimitStatement{
		Named: limit.Named, Rate: limit.PerSecond, Sent: sent, Heard: time.Now(),
	})
}
