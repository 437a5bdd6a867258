package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/worker"
)

// wireReading is a latency.Reading in whole numbers: tokens, tokens of context, tokens ahead,
// microseconds, and the slowdown in thousandths.
type wireReading [5]int64

func renderReadings(shared []worker.WorkerReading) map[string][]wireReading {
	var rendered map[string][]wireReading
	for _, measured := range shared {
		if rendered == nil {
			rendered = make(map[string][]wireReading, len(shared))
		}
		reading := measured.Reading
		rendered[measured.Worker] = append(rendered[measured.Worker], wireReading{
			int64(reading.Tokens), int64(reading.Context), int64(reading.Ahead),
			reading.Elapsed.Microseconds(), int64(reading.Slowdown*slowdownUnits + 0.5),
		})
	}
	return rendered
}

// parseReadings leaves out readings that can't be.
func parseReadings(rendered map[string][]wireReading) []worker.WorkerReading {
	var shared []worker.WorkerReading
	for id, forms := range rendered {
		for _, form := range forms {
			if !form.possible() {
				continue
			}
			shared = append(shared, worker.WorkerReading{Worker: id, Reading: latency.Reading{
				Tokens: int(form[0]), Context: int(form[1]), Ahead: int(form[2]),
				Elapsed: time.Duration(form[3]) * time.Microsecond, Slowdown: float64(form[4]) / slowdownUnits,
			}})
		}
	}
	return shared
}

const (
	// maxReadingTokens and maxReadingTime bound the figures of a reading that are accepted.
	maxReadingTokens = 10_000_000
	maxReadingTime   = time.Hour
)

func (f wireReading) possible() bool {
	for _, tokens := range f[:3] {
		if tokens < 0 || tokens > maxReadingTokens {
			return false
		}
	}
	return f[0] > 0 && f[3] > 0 && f[3] <= maxReadingTime.Microseconds() && f[4] > 0 && f[4] <= maxSlowdown*slowdownUnits
}
