package usage

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// The figures of a reporter.
const (
	// stepInterval is the time between two looks for a window that is due.
	stepInterval = 200 * time.Millisecond
	// settleTime is left after a window's end for nodes to tell their last counts: they do so
	// each half a second (digest.restEvery).
	settleTime = 600 * time.Millisecond
	// maxNodeWait is how long after a window's end nodes are waited for that live and have
	// not told all of it.
	maxNodeWait = 3 * time.Second
	// silentAfter is how long a node says nothing before it isn't waited for any more.
	silentAfter = 2500 * time.Millisecond
	// callTimeout bounds a call to the store or the platform's API.
	callTimeout = 2 * time.Second
	// retryInterval is the time between two tries of what failed.
	retryInterval = 500 * time.Millisecond
	// gatherTimeout is how long the answers of other supervisors are waited for.
	gatherTimeout = 150 * time.Millisecond
	// keptRows is how many windows stay recorded in the store: more than are ever due at
	// once.
	keptRows = 24
)

// Store is what the reporter needs of the platform's store.
type Store interface {
	rowstore.Store
	// Read returns all rows of a table as of one version.
	Read(ctx context.Context, table string) ([]tablefeed.Row, tablefeed.Version, error)
}

// API is the platform's API for usage.
type API interface {
	// ReportUsage reports the counts of a window. The error tells why a verdict is
	// duty.Unknown.
	ReportUsage(ctx context.Context, act duty.LeaseToken, window Window, counts Counts) (duty.Verdict, error)
}

// Member is another node.
type Member struct {
	// Node is its incarnation, and Silent the time since it was heard.
	Node   string
	Silent time.Duration
}

// Fleet is the other nodes.
type Fleet interface {
	Members() []Member
	// GatherUsage asks the other supervisors for what they have gathered of the windows
	// after one.
	GatherUsage(after Window)
	// TellRecorded tells the other supervisors what was recorded of windows.
	TellRecorded(recorded map[Window]Counts)
}

// Options are what a reporter works with.
type Options struct {
	// Node names this node to the platform, and Incarnation to other nodes.
	Node, Incarnation string
	// Late is how long after its end a window is still taken.
	Late      time.Duration
	Tally     *Tally
	Collector *Collector
	Authority *authority.Authority
	Store     Store
	API       API
	Fleet     Fleet
	// Designated reports whether this node is the one that the others expect to report.
	// Two nodes may both think so; the authority and the store decide.
	Designated func() bool
	Log        *logrus.Logger
	Metrics    *Metrics
}

// Reporter reports each window once. What it reports lies in the store before it is sent,
// under the condition that nothing lay there, so that a second report of a window, by
// whomever and however late, has the same counts.
type Reporter struct {
	options      Options
	windowLength WindowLength
	// first is the window in which this process started.
	first Window
	// done is the newest window up to which all are sent.
	done Window
	sent map[Window]bool
	// era is that of the store's history in which the recorded windows lie.
	era uint64
	// gathered tells that the other supervisors were asked since this node was designated.
	gathered bool
	retryAt  time.Time
}

// NewReporter returns a reporter.
func NewReporter(options Options) *Reporter {
	span := options.Tally.WindowLength()
	return &Reporter{
		options: options, windowLength: span, sent: make(map[Window]bool),
		first: span.WindowAt(options.Tally.Now(time.Now())),
	}
}

// Run works until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.options.Designated() {
			r.gathered, r.done = false, 0
			continue
		}
		r.Step(ctx, time.Now())
	}
}

// Step reports the windows that are due.
func (r *Reporter) Step(ctx context.Context, moment time.Time) {
	own := r.options.Tally.Since(0, moment)
	r.options.Collector.MergeEntries(r.options.Incarnation, own.Entries)
	now := r.options.Tally.Now(moment)
	due := r.windowLength.WindowAt(now.Add(-settleTime)) - 1
	if era := r.options.Store.Era(); era != r.era {
		r.era, r.done = era, 0 // what is recorded may be lost
	}
	if due <= r.done || moment.Before(r.retryAt) || !r.isComplete(due, now) {
		return
	}
	if err := r.report(ctx, due, now); err != nil {
		r.retryAt = moment.Add(retryInterval)
		r.options.Log.WithFields(logrus.Fields{"window": due, "cause": err.Error()}).Warn("usage not reported yet")
	}
}

// isComplete reports whether all that can be known of a window was isComplete, or was waited for long
// enough.
func (r *Reporter) isComplete(window Window, now time.Time) bool {
	if now.Sub(r.windowLength.End(window)) >= maxNodeWait {
		return true
	}
	for _, member := range r.options.Fleet.Members() {
		if member.Silent < silentAfter && !r.options.Collector.Closed(member.Node, window) {
			return false
		}
	}
	return true
}

// report records and sends all windows up to one.
func (r *Reporter) report(ctx context.Context, due Window, now time.Time) error {
	if !r.gathered {
		r.options.Fleet.GatherUsage(due - keptWindows)
		time.Sleep(gatherTimeout)
		r.gathered = true
	}
	if hold := r.options.Authority.Acquire(ctx); hold != authority.Held {
		return eris.Errorf("no authority: %s", hold)
	}
	recorded, err := r.recorded(ctx)
	if err != nil {
		return err
	}
	if err := r.recordLostWindows(ctx, recorded, due); err != nil {
		return err
	}
	for window := r.firstUnrecorded(recorded, due); window <= due; window++ {
		counts := r.options.Collector.Total(window)
		if err := r.record(ctx, window, counts); err != nil {
			return err
		}
		recorded[window] = counts
	}
	if err := r.sendAll(ctx, recorded, now); err != nil {
		return err
	}
	r.done = due
	r.options.Collector.Forget(due)
	return nil
}

// firstUnrecorded is the first window that isn't recorded.
func (r *Reporter) firstUnrecorded(recorded map[Window]Counts, due Window) Window {
	next := r.first
	for window := range recorded {
		next = max(next, window+1)
	}
	if len(recorded) > 0 {
		next = slices.Max(slices.Collect(maps.Keys(recorded))) + 1
	}
	return max(next, due-keptWindows+1)
}

// sendAll sends the recorded windows that the platform still takes and that this process
// hasn't sent.
func (r *Reporter) sendAll(ctx context.Context, recorded map[Window]Counts, now time.Time) error {
	for _, window := range slices.Sorted(maps.Keys(recorded)) {
		if r.sent[window] || now.Sub(r.windowLength.End(window)) > 2*r.options.Late {
			continue
		}
		if err := r.send(ctx, window, recorded[window]); err != nil {
			return err
		}
		r.sent[window] = true
	}
	maps.DeleteFunc(r.sent, func(window Window, _ bool) bool { return recorded[window] == nil })
	return nil
}

// send reports a window. The authority is looked at just before, and the call doesn't
// outlast it.
func (r *Reporter) send(ctx context.Context, window Window, counts Counts) error {
	act, held := r.options.Authority.Begin(ctx, callTimeout)
	if !held {
		return eris.New("the authority lapsed before the report left")
	}
	defer act.End()
	verdict, err := r.options.API.ReportUsage(act.Context, duty.LeaseToken{Holder: r.options.Node, Fence: act.Fence}, window, counts)
	r.options.Log.WithFields(logrus.Fields{
		"window": window, "requests": counts.total(), "fence": act.Fence, "verdict": verdict, "cause": fmt.Sprint(err),
	}).Info("usage reported")
	r.options.Metrics.observe(verdict)
	switch verdict {
	case duty.Accepted:
		return nil
	case duty.Refused:
		r.options.Authority.Renounce()
	}
	return eris.Errorf("the platform's answer to window %d: %s", window, verdict)
}
