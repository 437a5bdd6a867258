package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	labengine "github.com/tinarch/tinarch/internal/lab/engine"
)

// Options configure a run.
type Options struct {
	// Addresses are the nodes' addresses for callers. Requests go to them in turn.
	Addresses []string
	// Progress is called about once a second.
	Progress func(elapsed time.Duration, sent, ended int)
	// MaxActive limits the requests in progress. Arrivals above the limit are not sent, and the
	// report counts them. Zero means 10,000.
	MaxActive int
	// Grace is how long the run waits for answers after the end of the workload. Zero means 60
	// s.
	Grace time.Duration
}

// Run sends the requests of the workload's schedule and reports what callers saw.
func Run(ctx context.Context, workload Workload, options Options) *Report {
	if options.MaxActive == 0 {
		options.MaxActive = 10_000
	}
	if options.Grace == 0 {
		options.Grace = 60 * time.Second
	}
	runner := &run{
		workload: workload, options: options, texts: NewTexts(workload),
		sender: NewSender(options.Addresses), report: newReport(workload),
		slots: make(chan struct{}, options.MaxActive),
	}
	defer runner.sender.Close()
	runner.sendAll(ctx)
	return runner.report
}

type run struct {
	workload Workload
	options  Options
	texts    *Texts
	sender   *Sender
	report   *Report
	slots    chan struct{}
}

func (r *run) sendAll(ctx context.Context) {
	schedule := r.workload.Schedule()
	last := time.Duration(r.workload.Seconds * float64(time.Second))
	runCtx, cancel := context.WithTimeout(ctx, last+r.options.Grace)
	defer cancel()
	began := time.Now()
	stopProgress := r.showProgress(began)
	defer stopProgress()
	var active sync.WaitGroup
	for number, arrival := range schedule {
		if !waitUntil(runCtx, began.Add(arrival.At)) {
			r.report.countNotSent(len(schedule) - number)
			break
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.report.countNotSent(1)
			continue
		}
		active.Add(1)
		go func() {
			defer active.Done()
			defer func() { <-r.slots }()
			r.sendOne(runCtx, number, arrival)
		}()
	}
	active.Wait()
}

func waitUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendOne sends a request and compares its answer with the expected text.
func (r *run) sendOne(ctx context.Context, number int, arrival Arrival) {
	stream := r.workload.Streams[arrival.Stream]
	prompt := r.texts.Prompt(arrival)
	r.report.countSent()
	key := ""
	if stream.Keyed {
		key = fmt.Sprintf("%s-%d-%s-%d", r.workload.Name, r.workload.Seed, stream.Name, arrival.Number)
	}
	answer := r.sender.Send(ctx, number, stream, arrival, prompt, key)
	seed := labengine.TextSeed(stream.Model, stream.Version, stream.Adapter, prompt)
	r.report.addAnswer(arrival, answer, labengine.Text(seed, arrival.OutputTokens), seed)
}

func (r *run) showProgress(began time.Time) (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var finished sync.WaitGroup
	finished.Add(1)
	go func() {
		defer finished.Done()
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				sent, ended := r.report.Progress()
				r.options.Progress(time.Since(began), sent, ended)
			}
		}
	}()
	return func() {
		close(done)
		finished.Wait()
	}
}
