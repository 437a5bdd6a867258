package nodeexchange

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// maxPrefillLeft is the longest time left of a prefill that is believed. It is longer than any
// request's deadline leaves for prefilling.
const maxPrefillLeft = 30 * time.Second

func renderPrefills(prefills []worker.InFlightPrefill) []string {
	var rendered []string
	for _, prefill := range prefills {
		fields := []string{prefill.Worker, strconv.FormatInt(prefill.Left.Milliseconds(), 10)}
		rendered = append(rendered, strings.Join(append(fields, renderParts(prefill.Parts)...), " "))
	}
	return rendered
}

func parsePrefills(rendered []string) ([]worker.InFlightPrefill, error) {
	var prefills []worker.InFlightPrefill
	for _, text := range rendered {
		fields := strings.Fields(text)
		if len(fields) < 2 {
			return nil, eris.Errorf("a prefill has %d fields, want at least 2", len(fields))
		}
		left, err := strconv.ParseInt(fields[1], 10, 32)
		if err != nil {
			return nil, eris.Errorf("the time left of a prefill is %q", fields[1])
		}
		parts, err := parseParts(fields[2:])
		if err != nil {
			return nil, err
		}
		prefills = append(prefills, worker.InFlightPrefill{Worker: fields[0], Parts: parts, Left: believedLeft(left)})
	}
	return prefills, nil
}

func believedLeft(milliseconds int64) time.Duration {
	return min(max(time.Duration(milliseconds)*time.Millisecond, 0), maxPrefillLeft)
}

// wireInFlight is a scheduling.InFlight in whole numbers: tokens, and milliseconds left.
type wireInFlight [2]int

// renderInFlight returns the prefills in load reports, nil if there are none.
func renderInFlight(reports map[string]scheduling.LoadReport) map[string]wireInFlight {
	var rendered map[string]wireInFlight
	for id, report := range reports {
		if report.InFlight.Tokens == 0 {
			continue
		}
		if rendered == nil {
			rendered = make(map[string]wireInFlight)
		}
		rendered[id] = wireInFlight{report.InFlight.Tokens, int(report.InFlight.Left.Milliseconds())}
	}
	return rendered
}

func (w wireInFlight) inFlight() scheduling.InFlight {
	return scheduling.InFlight{Tokens: max(w[0], 0), Left: believedLeft(int64(min(w[1], int(maxPrefillLeft/time.Millisecond))))}
}
