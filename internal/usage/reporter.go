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
	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

const (
	// stepInterval is the interval at which the reporter looks for windows to report.
	stepInterval = 200 * time.Millisecond
	// settleTime is the time after the end of a window in which nodes send their last counts.
	// They do so every half second (nodeexchange.periodicInterval).
	settleTime = 600 * time.Millisecond
	// maxNodeWait is how long after the end of a window the reporter waits for nodes that are
	// alive and haven't sent all of it.
	maxNodeWait = 3 * time.Second
	// silentAfter is how long a node must have been silent so that the reporter no longer waits
	// for it.
	silentAfter = 2500 * time.Millisecond
	// callTimeout is the timeout of a call to the store or the platform's API.
	callTimeout = 2 * time.Second
	// retryInterval is the time until a failed report is tried again.
	retryInterval = 500 * time.Millisecond
	// gatherTimeout is how long the reporter waits for supervisors that don't answer: one that is
	// paused or cut off must not keep windows from being reported in time.
	gatherTimeout = 2 * time.Second
	// heldTimeout is how long the reporter waits until the other supervisors have a record before
	// it reports the window all the same.
	heldTimeout = 2 * time.Second
	// maxPoll bounds the wait for answers within one step, and pollInterval is the time between
	// two looks.
	maxPoll      = 200 * time.Millisecond
	pollInterval = 5 * time.Millisecond
	// keptRows is the number of recorded windows that stay in the store: more than can be due
	// at once.
	keptRows = 24
)

// Store is the interface to the platform's store.
type Store interface {
	rowstore.Store
	// Read returns all rows of a table, in one consistent version.
	Read(ctx context.Context, table string) ([]tablefeed.Row, tablefeed.Version, error)
}

// API is the platform's API for usage reports.
type API interface {
	// ReportUsage reports the counts of a window with the token of the lease. If the verdict is
	// duty.Unknown, the error tells why.
	ReportUsage(ctx context.Context, token duty.LeaseToken, window Window, counts Counts) (duty.Verdict, error)
}

// Member is another node.
type Member struct {
	// Node is the node's incarnation, and Silent the time since its last message.
	Node   string
	Silent time.Duration
}

// Fleet is the interface to the other nodes.
type Fleet interface {
	Members() []Member
	// GatherUsage asks the other supervisors for the counts that they have collected of the
	// windows after the given one, and for all recorded windows that they know.
	GatherUsage(after Window)
	// GatherRecords asks them for the recorded windows only.
	GatherRecords()
	// Unanswered returns the supervisors that are present and haven't answered the last of these
	// questions completely yet.
	Unanswered() []string
	// Unreached returns the supervisors that can't have answered, since they are silent or of an
	// earlier build.
	Unreached() []string
	// TellRecorded sends recorded windows to the other supervisors.
	TellRecorded(recorded map[Window]Counts)
	// Lacking returns the supervisors that are present and aren't known to have the record of a
	// window.
	Lacking(window Window) []string
	// EarlierBuildHeard reports whether this process has heard a node of an earlier build, which
	// may have recorded windows that it should have left out.
	EarlierBuildHeard() bool
}

// Options configures a Reporter.
type Options struct {
	// Node is this node's name for the platform, and Incarnation its id for other nodes.
	Node, Incarnation string
	// Late is how long after the end of a window the platform is expected to accept its report
	// (the setting late_s). The reporter sends a window for up to twice that time, and the
	// platform decides.
	Late      time.Duration
	Tally     *Tally
	Collector *Collector
	Authority *authority.Authority
	Store     Store
	API       API
	Fleet     Fleet
	// Designated reports whether this node is the supervisor that should report. Two nodes may
	// both believe so; then the lease and the store decide. The holder of the lease has the
	// authority to report.
	Designated func() bool
	Log        *logrus.Logger
	Metrics    *Metrics
}

// Reporter reports each window once. The counts of a window are recorded in the store before
// they are sent, and only if none were recorded before. So if a window is reported again, by
// any node and at any time, the counts are the same.
type Reporter struct {
	options      Options
	windowLength WindowLength
	// first is the window in which this process started.
	first Window
	// done is the newest window such that it and all before it have been sent.
	done Window
	sent map[Window]bool
	// told is when this process last told the other supervisors of a recorded window.
	told map[Window]time.Time
	// era is the era of the store in which the windows were recorded. It changes when the store
	// is restored from a backup.
	era uint64
	// readUnder is the fence under which this node last read the recorded windows.
	readUnder uint64
	// leftOut is the newest window that was left out because it may have been reported.
	leftOut Window
	// asideThrough is the newest window whose record in the store is not to be reported.
	asideThrough Window
	// gathering is the last question to the other supervisors.
	gathering gathering
	retryAt   time.Time
}

// NewReporter returns a reporter.
func NewReporter(options Options) *Reporter {
	length := options.Tally.WindowLength()
	return &Reporter{
		options: options, windowLength: length, sent: make(map[Window]bool), told: make(map[Window]time.Time),
		first: length.WindowAt(options.Tally.Now(time.Now())),
	}
}

// Run reports windows until ctx is done.
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
			r.observe(time.Now())
			r.gathering, r.done = gathering{}, 0
			continue
		}
		r.Step(ctx, time.Now())
	}
}

// observe updates the history with the store's era and with this node's authority.
func (r *Reporter) observe(moment time.Time) {
	current := r.windowLength.WindowAt(r.options.Tally.Now(moment))
	now := clock.Boottime()
	r.options.Collector.History().ObserveEra(r.options.Store.Era(), now, current)
	r.options.Collector.History().Tick(now)
	until := time.Time{}
	if term, held := r.options.Authority.Holding(); held && term.Fence == r.readUnder {
		until = term.Until
	}
	r.options.Collector.History().SetReporting(until)
}

// Step reports the windows that are due.
func (r *Reporter) Step(ctx context.Context, moment time.Time) {
	r.observe(moment)
	now := r.options.Tally.Now(moment)
	due := r.windowLength.WindowAt(now.Add(-settleTime)) - 1
	if era := r.options.Store.Era(); era != r.era {
		r.era, r.done = era, 0 // recorded windows may be lost
	}
	if due <= r.done || moment.Before(r.retryAt) || !r.isComplete(due, now) {
		return
	}
	if err := r.report(ctx, due, moment); err != nil {
		r.retryAt = moment.Add(retryInterval)
		r.options.Log.WithFields(logrus.Fields{"window": due, "cause": err.Error()}).Warn("usage not reported yet")
	}
}

// isComplete reports whether all nodes that are alive have sent all of a window, or maxNodeWait
// is over.
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

// report records and sends all windows up to the given one.
func (r *Reporter) report(ctx context.Context, due Window, moment time.Time) error {
	if status := r.options.Authority.Acquire(ctx); status != authority.Held {
		// This node may not report: it doesn't hold the lease.
		return eris.Errorf("no authority: %s", status)
	}
	if err := r.gather(due); err != nil {
		return err
	}
	r.options.Collector.MergeEntries(r.options.Incarnation, r.options.Tally.Entries(due-keptWindows, due))
	fence := r.options.Authority.Fence()
	recorded, err := r.recorded(ctx)
	if err != nil {
		return err
	}
	r.readUnder = fence
	r.observe(moment)
	if err := r.recordLostWindows(ctx, recorded, due); err != nil {
		return err
	}
	for window := r.firstUnrecorded(recorded, due); window <= due; window++ {
		if r.options.Collector.History().InDoubt(window, r.gathering.all) {
			r.leaveOut(window)
			continue
		}
		counts := r.options.Collector.Total(window)
		if err := r.record(ctx, window, counts); err != nil {
			return err
		}
		recorded[window] = counts
	}
	if err := r.sendAll(ctx, recorded, r.options.Tally.Now(moment)); err != nil {
		return err
	}
	r.done = due
	r.options.Collector.Forget(due)
	return nil
}

// leaveOut skips a window that may have been reported before the store was restored, with counts
// that no node knows. A window that isn't reported is missing; one that is reported with two
// sets of counts can't be put right.
func (r *Reporter) leaveOut(window Window) {
	if window <= r.leftOut {
		return
	}
	r.leftOut = window
	completeness := r.options.Collector.History().Completeness(clock.Boottime())
	r.options.Log.WithFields(logrus.Fields{
		"window": window, "complete_from": completeness.From, "era": completeness.Era,
	}).Warn("a usage window is left out: it may have been reported before the store was restored")
	r.options.Metrics.observeLeftOut()
}

// firstUnrecorded returns the first window that is still to be recorded, at most keptWindows
// back.
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

// sendAll sends the recorded windows that this process hasn't sent and that the platform may
// still accept: up to twice Options.Late after their end. recorded was read from the store in
// this step.
func (r *Reporter) sendAll(ctx context.Context, recorded map[Window]Counts, now time.Time) error {
	var windows []Window
	for _, window := range slices.Sorted(maps.Keys(recorded)) {
		if recorded[window] != nil && !r.sent[window] && now.Sub(r.windowLength.End(window)) <= 2*r.options.Late {
			windows = append(windows, window)
			if r.told[window].IsZero() {
				r.tell(window, recorded[window])
			}
		}
	}
	for _, window := range windows {
		if err := r.awaitHeld(window); err != nil {
			return err
		}
		if err := r.send(ctx, window, recorded[window]); err != nil {
			return err
		}
		r.sent[window] = true
	}
	maps.DeleteFunc(r.sent, func(window Window, _ bool) bool { return recorded[window] == nil })
	maps.DeleteFunc(r.told, func(window Window, _ time.Time) bool { return recorded[window] == nil })
	return nil
}

func (r *Reporter) tell(window Window, counts Counts) {
	r.told[window] = clock.Boottime()
	r.options.Fleet.TellRecorded(map[Window]Counts{window: counts})
}

// awaitHeld returns an error as long as other supervisors that are present lack the record of a
// window and may still be waited for. Once a window has been reported, its record must outlive
// both this process and a restore of the store.
func (r *Reporter) awaitHeld(window Window) error {
	lacking := poll(func() []string { return r.options.Fleet.Lacking(window) })
	if len(lacking) == 0 {
		return nil
	}
	if waited := clock.Boottime().Sub(r.told[window]); waited < heldTimeout {
		return eris.Errorf("the supervisors %v have not confirmed the record of window %d yet", lacking, window)
	}
	r.options.Log.WithFields(logrus.Fields{"window": window, "lacking": lacking}).Warn("a usage window is reported although not all supervisors have confirmed its record")
	return nil
}

// send reports one window. It checks just before that this node holds the lease: the authority
// has lapsed if the lease has expired or was given up. If the platform doesn't compare fencing
// tokens, the call ends at the latest when the lease expires. The log line is written after
// each call; its verdict tells whether the platform has accepted the report.
func (r *Reporter) send(ctx context.Context, window Window, counts Counts) error {
	operation, held := r.options.Authority.Begin(ctx, callTimeout)
	if !held {
		return eris.New("the authority lapsed before the report was sent")
	}
	defer operation.End()
	verdict, err := r.options.API.ReportUsage(operation.Context, duty.LeaseToken{Holder: r.options.Node, Fence: operation.Fence}, window, counts)
	r.options.Log.WithFields(logrus.Fields{
		"window": window, "requests": counts.total(), "fence": operation.Fence, "verdict": verdict, "cause": fmt.Sprint(err),
	}).Info("usage reported")
	r.options.Metrics.observe(verdict)
	switch verdict {
	case duty.Accepted:
		return nil
	case duty.Refused:
		r.options.Authority.Renounce()
	}
	return eris.Errorf("the platform's verdict on the report of window %d is %s", window, verdict)
}
