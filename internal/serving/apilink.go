package serving

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/fleetsize"
	"github.com/tinarch/tinarch/internal/usage"
)

// platformAPI is the platform's API for duties.
type platformAPI interface {
	usage.API
	fleetsize.API
}

const (
	// lostAfterCalls and lostAfter are how many calls in a row, and for how long, aren't answered
	// before the link to the API counts as lost.
	lostAfterCalls = 3
	lostAfter      = 3 * time.Second
	// leaveDutiesFor is for how long a node then leaves the duties to others: several times what
	// another one needs to take them over.
	leaveDutiesFor = 20 * time.Second
)

// apiLink passes calls on to the platform's API. A node that isn't answered leaves the duties to
// others, whose links may work.
type apiLink struct {
	api   platformAPI
	leave func(span time.Duration)
	log   *logrus.Logger

	mu sync.Mutex
	// unanswered counts the calls in a row that weren't answered, and since is when the first of
	// them ended.
	unanswered int
	since      time.Time
}

// ReportUsage implements usage.API.
func (l *apiLink) ReportUsage(ctx context.Context, token duty.LeaseToken, window usage.Window, counts usage.Counts) (duty.Verdict, error) {
	verdict, err := l.api.ReportUsage(ctx, token, window, counts)
	l.observe(err, time.Now())
	return verdict, err
}

// OrderWorkers implements fleetsize.API.
func (l *apiLink) OrderWorkers(ctx context.Context, token duty.LeaseToken, service string, kind fleetsize.Kind, count int) (duty.Verdict, error) {
	verdict, err := l.api.OrderWorkers(ctx, token, service, kind, count)
	l.observe(err, time.Now())
	return verdict, err
}

// observe records whether a call was answered.
func (l *apiLink) observe(err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !duty.IsUnanswered(err) {
		l.unanswered = 0
		return
	}
	if l.unanswered == 0 {
		l.since = now
	}
	l.unanswered++
	if l.unanswered < lostAfterCalls || now.Sub(l.since) < lostAfter {
		return
	}
	l.log.WithFields(logrus.Fields{"calls": l.unanswered, "cause": err.Error()}).
		Warn("the platform's API doesn't answer this node: it leaves the platform's duties to others")
	l.unanswered = 0
	l.leave(leaveDutiesFor)
}
