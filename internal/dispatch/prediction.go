package dispatch

import (
	"time"

	"github.com/tinarch/tinarch/internal/scheduling"
)

// prediction is the predicted time to the first byte of an answer, counted from the plan.
type prediction struct {
	mode  scheduling.Mode
	first time.Duration
	at    time.Time
}

// observeFirstByte compares the prediction of the plan with the arrival of the first byte.
// Plans without a prediction aren't counted.
func (s *session) observeFirstByte(at time.Time) {
	if s.predicted.first > 0 {
		s.metrics.FirstByteErrors.WithLabelValues(string(s.predicted.mode)).Observe((s.predicted.first - at.Sub(s.predicted.at)).Seconds())
	}
	s.predicted = prediction{}
}
