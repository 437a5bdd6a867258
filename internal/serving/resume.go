package serving

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// resumePoll is the time between two looks of a node that has stepped back whether the store
	// answers it again.
	resumePoll = 500 * time.Millisecond
	// answersToResume is the number of answers in a row after which it resumes its duties. The
	// calls of a store that is coming back fail in part.
	answersToResume = 2
)

// resumeDuties lets this node resume the platform's duties after it has stepped back.
func (n *Node) resumeDuties(ctx context.Context) {
	ticker := time.NewTicker(resumePoll)
	defer ticker.Stop()
	resumeDuties(ctx, ticker.C, n.exchange, n.authority.StoreAnswers, n.log)
}

// standby is the standing of this node among those that may carry out the platform's duties.
type standby interface {
	// SteppedBack reports whether this node leaves the duties to other nodes.
	SteppedBack() bool
	// Resume ends that.
	Resume()
}

// resumeDuties lets a node that stepped back resume its duties once the store answers it again.
// Otherwise the first node that the store answers takes them over, which after an outage for all
// nodes may be one of an earlier build.
func resumeDuties(ctx context.Context, ticks <-chan time.Time, node standby, answers func(context.Context) bool, log *logrus.Logger) {
	inRow := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if !node.SteppedBack() || !answers(ctx) {
			inRow = 0
			continue
		}
		if inRow++; inRow < answersToResume {
			continue
		}
		inRow = 0
		node.Resume()
		log.Info("the store answers again: this node resumes the platform's duties")
	}
}
