package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Unfenced reports whether the run was unfenced.
	Unfenced bool `json:"unfenced,omitempty"`
	// OverLimit counts the requests of the tenant with a quota that were answered 429. No other
	// count includes them.
	OverLimit int `json:"over_limit,omitempty"`
	// LimitedPeak is the most requests of that tenant that ran in one window of its quota.
	LimitedPeak int `json:"limited_peak,omitempty"`
	// Sent counts requests; Served counts those that were answered completely.
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// QuietSent and QuietServed count the requests of the last half of the quiet period.
	QuietSent   int `json:"quiet_sent"`
	QuietServed int `json:"quiet_served"`
	Starts      int `json:"starts"`
	// Ended counts the workers that ended during the run.
	Ended int `json:"ended,omitempty"`
	// Limited counts the limits that workers stated.
	Limited int `json:"limited,omitempty"`
	// Leaving counts the announcements of workers that they are about to end, and Paused the
	// requests of workers for a backoff.
	Leaving int `json:"leaving,omitempty"`
	Paused  int `json:"paused,omitempty"`
	// Storm is how soon the configurations of a storm were in force; nil if there was none.
	Storm *stormReport `json:"storm,omitempty"`
	// Streams tells what callers saw of the streams that they took up; nil without Options.Versions.
	Streams *streamReport `json:"streams,omitempty"`
	// Windows counts the usage windows that were reported.
	Windows  int            `json:"windows"`
	Statuses map[string]int `json:"statuses"`
	// Broken lists the violations of guarantees.
	Broken []string `json:"broken"`
}

// quietShare is the share of the requests counted by QuietSent that must be served.
const quietShare = 0.9

// report checks everything that callers and workers saw.
func (l *load) report() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string][]fleetworker.Run)
	signatures := make(map[string]*soakWorker)
	for _, worker := range l.site.allWorkers() {
		signatures[worker.ID()] = worker
		for _, run := range worker.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			l.site.watch.checkRun(run.Worker, run.At)
		}
	}
	report := &Report{Statuses: make(map[string]int), Broken: []string{}}
	ids := make(map[string]bool, len(l.observations))
	for _, got := range l.observations {
		ids[got.id] = true
		if got.followed {
			continue
		}
		switch {
		case l.site.options.Quotas && got.tenant == tenantOf(limitedTenant) && got.status == http.StatusTooManyRequests:
			report.OverLimit++
		case !got.probe:
			report.count(got, !l.quietSince.IsZero() && got.sent.After(l.quietSince.Add(quietPeriod/2)))
		}
		for _, violation := range checkRequest(got, runs[got.id], signatures) {
			report.add(got, violation)
		}
	}
	for id := range runs {
		if !ids[id] && !l.site.poison.sent(id) && !l.site.parts.sent(id) {
			report.Broken = append(report.Broken, fmt.Sprintf("request %s ran, but nobody sent it", id))
		}
	}
	report.Broken = append(report.Broken, l.site.watch.violations()...)
	if float64(report.QuietServed) < quietShare*float64(report.QuietSent) {
		report.Broken = append(report.Broken, fmt.Sprintf("of %d requests in the quiet period only %d were served", report.QuietSent, report.QuietServed))
	}
	sort.Strings(report.Broken)
	return report
}

func (r *Report) add(got observation, violation string) {
	r.Broken = append(r.Broken, fmt.Sprintf("%s %s: %s (status %d, %v)", got.class.name, got.id, violation, got.status, got.err))
}

func (r *Report) count(got observation, inQuiet bool) {
	if got.abandoned {
		return
	}
	r.Sent++
	served := got.status == http.StatusOK && got.err == nil
	status := fmt.Sprint(got.status)
	if got.err != nil {
		status += " broken off"
	}
	r.Statuses[status]++
	if served {
		r.Served++
	}
	if inQuiet {
		r.QuietSent++
		if served {
			r.QuietServed++
		}
	}
}

// notRun are the statuses that guarantee that the request did not run and won't run.
var notRun = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// checkRequest returns the guarantees that were violated for one request.
func checkRequest(got observation, runs []fleetworker.Run, workers map[string]*soakWorker) []string {
	var violations []string
	if !got.class.repeatable() && len(runs) > 1 {
		violations = append(violations, fmt.Sprintf("ran %d times", len(runs)))
	}
	if !got.class.repeatable() && notRun[got.status] && len(runs) > 0 {
		violations = append(violations, "was answered as not run, but it ran")
	}
	if !got.probe && got.status >= 400 && got.status < 500 && !notRun[got.status] {
		violations = append(violations, "a valid request was refused")
	}
	for _, run := range runs {
		if run.Target != got.class.prefix+got.id {
			violations = append(violations, "ran with another target "+run.Target)
		}
		if run.Header.Get("X-Api-Key") != "" || run.Header.Get("X-Tenant") != got.tenant {
			violations = append(violations, fmt.Sprintf("ran for tenant %q instead of %q, or with an API key", run.Header.Get("X-Tenant"), got.tenant))
		}
	}
	if mayEndEarly(got, runs, workers) && strings.HasPrefix(completeAnswer(got.id), got.body) {
		got.body = completeAnswer(got.id)
	}
	return append(violations, checkAnswer(got, workers)...)
}

// checkAnswer checks the content of a complete answer.
func checkAnswer(got observation, workers map[string]*soakWorker) []string {
	if got.status != http.StatusOK || got.err != nil {
		return nil
	}
	if got.body != completeAnswer(got.id) {
		return []string{fmt.Sprintf("the answer looks complete but isn't as expected: %d of %d bytes", len(got.body), len(completeAnswer(got.id)))}
	}
	worker := workers[got.header.Get("X-Instance-Id")]
	if worker == nil || got.header.Get("X-Response-Signature") != worker.Signature(got.id) || got.header.Get("X-Request-Id") != got.id {
		return []string{"the answer has the signature or id of another one"}
	}
	return nil
}
