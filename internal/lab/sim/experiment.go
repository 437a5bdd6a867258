package sim

import (
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/placement"
)

// Outcome holds the results of one policy over all seeds.
type Outcome struct {
	Policy placement.Policy `json:"policy"`
	// Goodputs are the goodputs of the seeds, in increasing order.
	Goodputs []float64       `json:"goodput_sorted"`
	Median   float64         `json:"goodput_median"`
	Streams  []StreamOutcome `json:"streams"`
}

// StreamOutcome holds the results of one stream under one policy. The values are medians over
// the seeds, except LowestGoodput.
type StreamOutcome struct {
	Name             string  `json:"name"`
	Goodput          float64 `json:"goodput_median"`
	LowestGoodput    float64 `json:"goodput_lowest"`
	FirstTokenMillis float64 `json:"first_token_ms_p95_median"`
	GapMillis        float64 `json:"between_tokens_ms_p95_median"`
}

// Compare runs every policy with each seed, all policies with the same arrivals. At most
// parallel simulations run at a time.
func Compare(options Options, policies []placement.Policy, seeds, parallel int) ([]Outcome, error) {
	outcomes := make([]Outcome, len(policies))
	for i, policy := range policies {
		reports, err := runSeeds(options, policy, seeds, parallel)
		if err != nil {
			return nil, err
		}
		outcomes[i] = summarize(policy, reports)
	}
	return outcomes, nil
}

func runSeeds(options Options, policy placement.Policy, seeds, parallel int) ([]*Report, error) {
	reports := make([]*Report, seeds)
	errs := make([]error, seeds)
	slots := make(chan struct{}, max(parallel, 1))
	var group sync.WaitGroup
	for i := range seeds {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			seeded := options
			seeded.Policy = policy
			seeded.Workload.Seed += uint64(i)
			reports[i], errs[i] = Run(seeded)
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func summarize(policy placement.Policy, reports []*Report) Outcome {
	outcome := Outcome{Policy: policy, Goodputs: collect(reports, (*Report).Goodput)}
	outcome.Median = median(outcome.Goodputs)
	for i, stream := range reports[0].Streams {
		goodputs := collect(reports, func(r *Report) float64 { return r.Streams[i].Goodput() })
		outcome.Streams = append(outcome.Streams, StreamOutcome{
			Name:             stream.Name,
			Goodput:          median(goodputs),
			LowestGoodput:    goodputs[0],
			FirstTokenMillis: median(collect(reports, func(r *Report) float64 { return r.Streams[i].FirstTokenMillis(95) })),
			GapMillis:        median(collect(reports, func(r *Report) float64 { return r.Streams[i].GapMillis(95) })),
		})
	}
	return outcome
}

// collect returns one value of each report, in increasing order.
func collect(reports []*Report, figure func(*Report) float64) []float64 {
	values := make([]float64, len(reports))
	for i, report := range reports {
		values[i] = figure(report)
	}
	slices.Sort(values)
	return values
}

// median returns the middle value, or the upper of the two middle values.
func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// SimulationCost is the time that it takes to simulate a deployment of a given size.
type SimulationCost struct {
	Engines       int     `json:"engines"`
	Requests      int     `json:"requests"`
	Seconds       float64 `json:"wall_seconds"`
	MicrosEach    float64 `json:"wall_us_per_request"`
	TimesRealTime float64 `json:"times_real_time"`
	Goodput       float64 `json:"goodput"`
}

// MeasureSimulationCost simulates the deployment and its workload, both replicated fleets
// times, on one core.
func MeasureSimulationCost(options Options, fleets int) (SimulationCost, error) {
	options.Fleets = fleets
	engines := 0
	for _, pool := range options.Pools {
		engines += pool.Count * fleets
	}
	began := time.Now()
	report, err := Run(options)
	if err != nil {
		return SimulationCost{}, err
	}
	seconds := time.Since(began).Seconds()
	requests := 0
	for _, stream := range report.Streams {
		requests += stream.Sent
	}
	return SimulationCost{
		Engines: engines, Requests: requests, Seconds: seconds, MicrosEach: seconds / float64(max(requests, 1)) * 1e6,
		TimesRealTime: options.Workload.Seconds / seconds, Goodput: report.Goodput(),
	}, nil
}
