package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold microseconds, up to ten minutes, with three significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// StreamReport holds what the callers of one stream saw.
type StreamReport struct {
	Name       string
	Sent       int
	Whole      int
	InDeadline int
	// Wrong counts answers that didn't fail but are incomplete or differ from the text that the
	// engine generates for the prompt, such as an answer to another request.
	Wrong int
	// Cut counts answers that ended early without an error message.
	Cut          int
	Refused      map[string]int
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
	firstToken   *hdrhistogram.Histogram
	gaps         *hdrhistogram.Histogram
	total        *hdrhistogram.Histogram
}

// Report holds what the callers of a run saw.
type Report struct {
	mu      sync.Mutex
	Streams []*StreamReport
	// NotSent counts arrivals that the load tool could not send: there were too many requests
	// in progress, or the run had ended.
	NotSent int
	// OnceSeeds are the text seeds of the requests that must run at most once, by which engines
	// count their runs.
	OnceSeeds []uint64
	// Findings describe the first answers that Wrong or Cut counts, at most maxFindings.
	Findings []Finding
	workload Workload
	sent     int
	ended    int
}

// Finding describes an answer that was wrong or cut, so that it can be looked up in the logs of
// nodes and engines.
type Finding struct {
	Stream string `json:"stream"`
	Number int    `json:"number"`
	// Attempt is the ID that the node gave the request; it is empty if there is none.
	Attempt string `json:"attempt"`
	Message string `json:"message"`
	// Got and Want are the lengths of the received and the expected text, and CommonPrefix is
	// the length of their common prefix, all in bytes.
	Got          int           `json:"got"`
	Want         int           `json:"want"`
	CommonPrefix int           `json:"common_prefix"`
	After        time.Duration `json:"after_ns"`
}

// maxFindings limits the findings that a report holds.
const maxFindings = 20

func newFinding(stream Stream, arrival Arrival, answer Answer, want string) Finding {
	common := 0
	for common < len(want) && common < len(answer.Text) && want[common] == answer.Text[common] {
		common++
	}
	return Finding{
		Stream: stream.Name, Number: arrival.Number, Attempt: answer.Attempt, Message: answer.Message,
		Got: len(answer.Text), Want: len(want), CommonPrefix: common, After: answer.Total,
	}
}

func (r *Report) addFinding(finding Finding) {
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, finding)
	}
}

func newReport(workload Workload) *Report {
	r := &Report{workload: workload}
	for _, stream := range workload.Streams {
		r.Streams = append(r.Streams, &StreamReport{
			Name:       stream.Name,
			Refused:    map[string]int{},
			firstToken: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
			gaps:       hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
			total:      hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		})
	}
	return r
}

func (r *Report) countNotSent(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.NotSent += count
}

func (r *Report) countSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// Progress returns the number of requests sent and of requests that have ended.
func (r *Report) Progress() (sent, ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.ended
}

func (r *Report) addAnswer(arrival Arrival, answer Answer, want string, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	stream := r.workload.Streams[arrival.Stream]
	s := r.Streams[arrival.Stream]
	s.Sent++
	if stream.Keyed {
		r.OnceSeeds = append(r.OnceSeeds, seed)
	}
	switch {
	case answer.Code != 0 && answer.CodeName == "cut":
		s.Cut++
		r.addFinding(newFinding(stream, arrival, answer, want))
		return
	case answer.Code != 0:
		s.Refused[answer.CodeName]++
		return
	case !answer.Whole || answer.Text != want:
		s.Wrong++
		r.addFinding(newFinding(stream, arrival, answer, want))
		return
	}
	s.Whole++
	if answer.Total <= time.Duration(stream.DeadlineMillis)*time.Millisecond {
		s.InDeadline++
	}
	s.OutputTokens += int64(arrival.OutputTokens)
	if answer.Usage != nil {
		s.PromptTokens += int64(answer.Usage.PromptTokens)
		if answer.Usage.PromptTokensDetails != nil {
			s.CachedTokens += int64(answer.Usage.PromptTokensDetails.CachedTokens)
		}
	}
	record(s.firstToken, answer.FirstToken)
	record(s.total, answer.Total)
	for _, gap := range answer.Gaps {
		record(s.gaps, gap)
	}
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), lowestMicros), highestMicros))
}

// Goodput returns the share of all arrivals, sent or not, that were answered completely,
// correctly and within their deadline.
func (r *Report) Goodput() float64 {
	sent, good := r.NotSent, 0
	for _, s := range r.Streams {
		sent += s.Sent
		good += s.InDeadline
	}
	if sent == 0 {
		return 0
	}
	return float64(good) / float64(sent)
}

// GoodputOf returns the goodput of the stream's requests that were sent.
func (s *StreamReport) GoodputOf() float64 {
	if s.Sent == 0 {
		return 0
	}
	return float64(s.InDeadline) / float64(s.Sent)
}

// Wrong returns the number of answers of all streams that were wrong or cut.
func (r *Report) Wrong() int {
	total := 0
	for _, s := range r.Streams {
		total += s.Wrong + s.Cut
	}
	return total
}

// Doubled returns the number of requests that must run at most once and ran more often. runs
// holds the number of runs that the engines accepted, by text seed.
func (r *Report) Doubled(runs map[uint64]int) int {
	doubled := 0
	for _, seed := range r.OnceSeeds {
		if runs[seed] > 1 {
			doubled++
		}
	}
	return doubled
}

func percentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}

// Print writes the report as a table, followed by the findings.
func (r *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "stream\tsent\twhole\tin time\tgoodput\twrong\tcut\tfirst token p50/p95/p99 ms\tbetween tokens p50/p95/p99 ms\tcached\trefused")
	for _, s := range r.Streams {
		cached := 0.0
		if s.PromptTokens > 0 {
			cached = 100 * float64(s.CachedTokens) / float64(s.PromptTokens)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f %%\t%d\t%d\t%.0f / %.0f / %.0f\t%.1f / %.1f / %.1f\t%.0f %%\t%s\n",
			s.Name, s.Sent, s.Whole, s.InDeadline, 100*s.GoodputOf(), s.Wrong, s.Cut,
			percentileMillis(s.firstToken, 50), percentileMillis(s.firstToken, 95), percentileMillis(s.firstToken, 99),
			percentileMillis(s.gaps, 50), percentileMillis(s.gaps, 95), percentileMillis(s.gaps, 99), cached, refusals(s.Refused))
	}
	_ = table.Flush()
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "wrong: %+v\n", finding)
	}
	if r.NotSent > 0 {
		fmt.Fprintf(out, "%d arrivals were not sent: the load tool had too many requests in progress\n", r.NotSent)
	}
}

func refusals(refused map[string]int) string {
	if len(refused) == 0 {
		return "-"
	}
	var parts []string
	for code, count := range refused {
		parts = append(parts, fmt.Sprintf("%s %d", code, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// streamSummary is the JSON form of a StreamReport.
type streamSummary struct {
	Name              string         `json:"name"`
	Sent              int            `json:"sent"`
	Whole             int            `json:"whole"`
	InDeadline        int            `json:"in_deadline"`
	Goodput           float64        `json:"goodput"`
	Wrong             int            `json:"wrong"`
	Cut               int            `json:"cut"`
	Refused           map[string]int `json:"refused"`
	FirstTokenMillis  [3]float64     `json:"first_token_ms_p50_p95_p99"`
	BetweenTokens     [3]float64     `json:"between_tokens_ms_p50_p95_p99"`
	TotalMillis       [3]float64     `json:"total_ms_p50_p95_p99"`
	PromptTokens      int64          `json:"prompt_tokens"`
	CachedTokens      int64          `json:"cached_tokens"`
	OutputTokensWhole int64          `json:"output_tokens"`
}

func percentiles(h *hdrhistogram.Histogram) [3]float64 {
	return [3]float64{percentileMillis(h, 50), percentileMillis(h, 95), percentileMillis(h, 99)}
}

// MarshalJSON implements json.Marshaler.
func (r *Report) MarshalJSON() ([]byte, error) {
	summaries := make([]streamSummary, len(r.Streams))
	for i, s := range r.Streams {
		summaries[i] = streamSummary{
			Name: s.Name, Sent: s.Sent, Whole: s.Whole, InDeadline: s.InDeadline, Goodput: s.GoodputOf(),
			Wrong: s.Wrong, Cut: s.Cut, Refused: s.Refused,
			FirstTokenMillis: percentiles(s.firstToken), BetweenTokens: percentiles(s.gaps), TotalMillis: percentiles(s.total),
			PromptTokens: s.PromptTokens, CachedTokens: s.CachedTokens, OutputTokensWhole: s.OutputTokens,
		}
	}
	return json.Marshal(struct {
		Workload string          `json:"workload"`
		Seed     uint64          `json:"seed"`
		Goodput  float64         `json:"goodput"`
		Wrong    int             `json:"wrong"`
		NotSent  int             `json:"not_sent"`
		Findings []Finding       `json:"findings,omitempty"`
		Streams  []streamSummary `json:"streams"`
	}{r.workload.Name, r.workload.Seed, r.Goodput(), r.Wrong(), r.NotSent, r.Findings, summaries})
}
