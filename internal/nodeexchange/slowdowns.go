package nodeexchange

import (
	"time"

	"github.com/tinarch/tinarch/internal/worker"
)

// wireSlowdown is a worker.HostStatement in whole numbers: the factor in thousandths, and the
// milliseconds since the statement.
type wireSlowdown [2]int64

// slowdownUnits is the number of units of a factor.
const slowdownUnits = 1000

func renderSlowdowns(statements map[string]worker.HostStatement, now time.Time) map[string]wireSlowdown {
	var rendered map[string]wireSlowdown
	for id, statement := range statements {
		if rendered == nil {
			rendered = make(map[string]wireSlowdown, len(statements))
		}
		age := max(now.Sub(statement.At), 0)
		rendered[id] = wireSlowdown{int64(statement.Factor*slowdownUnits + 0.5), age.Milliseconds()}
	}
	return rendered
}

// parseSlowdowns leaves out statements that can't be: factors that aren't positive or exceed
// any that a worker states, and ages below zero.
func parseSlowdowns(rendered map[string]wireSlowdown, now time.Time) map[string]worker.HostStatement {
	var statements map[string]worker.HostStatement
	for id, form := range rendered {
		if form[0] <= 0 || form[0] > maxSlowdown*slowdownUnits || form[1] < 0 || form[1] > maxSlowdownAge.Milliseconds() {
			continue
		}
		if statements == nil {
			statements = make(map[string]worker.HostStatement, len(rendered))
		}
		statements[id] = worker.HostStatement{
			Factor: float64(form[0]) / slowdownUnits, At: now.Add(-time.Duration(form[1]) * time.Millisecond),
		}
	}
	return statements
}

const (
	// maxSlowdown is the largest factor accepted.
	maxSlowdown = 100
	// maxSlowdownAge is the age from which a statement tells nothing of a worker any more.
	maxSlowdownAge = time.Hour
)
