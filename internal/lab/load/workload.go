// Package load sends an open-loop workload to nodes and checks the text of every answer.
// Arrivals don't wait for answers, so a slow system gets no less load (Schroeder et al., "Open
// Versus Closed", NSDI 2006).
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/tinarch/tinarch/internal/result"
)

// Workload is the content of a workload file.
type Workload struct {
	Name    string   `yaml:"name"`
	Seed    uint64   `yaml:"seed"`
	Seconds float64  `yaml:"seconds"`
	Corpora []Corpus `yaml:"corpora"`
	Streams []Stream `yaml:"streams"`
}

// Corpus is a set of long texts that prompts share as a prefix.
type Corpus struct {
	Name   string `yaml:"name"`
	Texts  int    `yaml:"texts"`
	Tokens int    `yaml:"tokens"`
}

// Stream is a series of requests of one kind and the distribution of their arrivals.
type Stream struct {
	Name string `yaml:"name"`
	Kind string `yaml:"kind"`
	// Model, Version and Adapter are what serves the kind. The expected text depends on them.
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Adapter string `yaml:"adapter"`
	// Keys are the API keys of the tenants that send the requests. Each request uses one of
	// them, drawn with equal probability.
	Keys []string `yaml:"keys"`
	// Rate gives the arrival rate at some times; it is interpolated linearly between them.
	Rate []RatePoint `yaml:"rate"`
	// Corpus is the name of the corpus whose texts the prompts begin with; empty means none.
	Corpus string `yaml:"corpus"`
	// Prompt is the length of the prompt without the shared prefix.
	Prompt Length `yaml:"prompt"`
	Output Length `yaml:"output"`
	// DeadlineMillis is the time within which an answer counts for goodput.
	DeadlineMillis int `yaml:"deadline_ms"`
	// Keyed sends an idempotency key with each request, which then must run at most once.
	Keyed bool `yaml:"keyed"`
	// Whole requests answers in one piece instead of streams.
	Whole bool `yaml:"whole"`
}

// RatePoint is the arrival rate at a time.
type RatePoint struct {
	AtSeconds float64 `yaml:"at"`
	PerSecond float64 `yaml:"per_second"`
}

// Length is a log-normal distribution of token counts.
type Length struct {
	Median int `yaml:"median"`
	// Spread is the standard deviation of the natural logarithm.
	Spread float64 `yaml:"spread"`
	Most   int     `yaml:"most"`
}

func (l Length) draw(random *rand.Rand) int {
	tokens := int(float64(l.Median) * math.Exp(l.Spread*random.NormFloat64()))
	return max(1, min(tokens, l.Most))
}

// ReadWorkload reads and validates a workload file.
func ReadWorkload(path string) (Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, result.New(result.SettingsInvalid, "the workload can't be read: %v", err)
	}
	var workload Workload
	decoder := yaml.NewDecoder(strings.NewReader(string(content)), yaml.Strict())
	if err := decoder.Decode(&workload); err != nil {
		return Workload{}, result.New(result.SettingsInvalid, "%s: %v", path, err)
	}
	return workload, workload.validate(path)
}

func (w Workload) validate(path string) error {
	var problems []string
	add := func(format string, arguments ...any) {
		problems = append(problems, path+": "+fmt.Sprintf(format, arguments...))
	}
	if w.Seconds <= 0 || w.Seconds > 24*3600 {
		add("seconds: %v is out of range; use more than 0 and at most a day", w.Seconds)
	}
	corpora := map[string]bool{}
	for _, corpus := range w.Corpora {
		corpora[corpus.Name] = true
		if corpus.Texts < 1 || corpus.Tokens < 1 {
			add("corpora: %s: texts and tokens must be at least 1", corpus.Name)
		}
	}
	for _, stream := range w.Streams {
		if stream.Corpus != "" && !corpora[stream.Corpus] {
			add("streams: %s: corpus %q does not exist", stream.Name, stream.Corpus)
		}
		if len(stream.Keys) == 0 || stream.Kind == "" || stream.Model == "" || len(stream.Rate) == 0 {
			add("streams: %s: keys, kind, model and rate are needed", stream.Name)
		}
		if stream.Prompt.Median < 1 || stream.Output.Median < 1 || stream.Prompt.Most < 1 || stream.Output.Most < 1 {
			add("streams: %s: prompt and output need median and most of at least 1", stream.Name)
		}
		if stream.DeadlineMillis < 1 {
			add("streams: %s: deadline_ms must be at least 1", stream.Name)
		}
	}
	if len(problems) > 0 {
		return result.New(result.SettingsInvalid, "%s", strings.Join(problems, "\n"))
	}
	return nil
}

// Scaled returns the workload with all rates multiplied by rate and, if seconds isn't zero,
// with its times scaled to that length.
func (w Workload) Scaled(rate, seconds float64) Workload {
	if seconds == 0 {
		seconds = w.Seconds
	}
	stretch := seconds / w.Seconds
	scaled := w
	scaled.Seconds = seconds
	scaled.Streams = nil
	for _, stream := range w.Streams {
		points := make([]RatePoint, len(stream.Rate))
		for i, point := range stream.Rate {
			points[i] = RatePoint{AtSeconds: point.AtSeconds * stretch, PerSecond: point.PerSecond * rate}
		}
		stream.Rate = points
		scaled.Streams = append(scaled.Streams, stream)
	}
	return scaled
}

// rateAt returns the arrival rate at a time, by linear interpolation.
func (s Stream) rateAt(seconds float64) float64 {
	points := s.Rate
	if seconds <= points[0].AtSeconds {
		return points[0].PerSecond
	}
	for i := 1; i < len(points); i++ {
		if seconds <= points[i].AtSeconds {
			before, after := points[i-1], points[i]
			part := (seconds - before.AtSeconds) / (after.AtSeconds - before.AtSeconds)
			return before.PerSecond + part*(after.PerSecond-before.PerSecond)
		}
	}
	return points[len(points)-1].PerSecond
}

func (s Stream) maxRate() float64 {
	highest := 0.0
	for _, point := range s.Rate {
		highest = max(highest, point.PerSecond)
	}
	return highest
}

// Arrival is one request of a schedule.
type Arrival struct {
	At     time.Duration
	Stream int
	// Number is the index of the arrival in its stream.
	Number       int
	Text         int // index of the shared text, -1 for none
	PromptTokens int // without the shared text
	OutputTokens int
	Key          string
}

// Schedule returns all arrivals in order of time. It depends on the workload only.
func (w Workload) Schedule() []Arrival {
	var schedule []Arrival
	for i, stream := range w.Streams {
		random := rand.New(rand.NewPCG(w.Seed, uint64(i)+1))
		schedule = append(schedule, w.arrivalsOf(i, stream, random)...)
	}
	sortByTime(schedule)
	return schedule
}

// arrivalsOf draws the arrivals of a stream, a Poisson process of varying rate, by thinning
// (Lewis and Shedler, 1979).
func (w Workload) arrivalsOf(index int, stream Stream, random *rand.Rand) []Arrival {
	highest := stream.maxRate()
	if highest <= 0 {
		return nil
	}
	var arrivals []Arrival
	texts := w.textCount(stream.Corpus)
	for at := random.ExpFloat64() / highest; at < w.Seconds; at += random.ExpFloat64() / highest {
		accepted := random.Float64()*highest < stream.rateAt(at)
		if !accepted {
			continue
		}
		arrival := Arrival{
			At:           time.Duration(at * float64(time.Second)),
			Stream:       index,
			Number:       len(arrivals),
			Text:         -1,
			PromptTokens: stream.Prompt.draw(random),
			OutputTokens: stream.Output.draw(random),
			Key:          stream.Keys[random.IntN(len(stream.Keys))],
		}
		if texts > 0 {
			arrival.Text = drawSkewed(random, texts)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

// drawSkewed draws a number below count. Low numbers are more likely, as some reference texts are
// used far more than others: the number is the square of a uniform variable, times count.
func drawSkewed(random *rand.Rand, count int) int {
	uniform := random.Float64()
	return int(uniform * uniform * float64(count))
}

func (w Workload) textCount(name string) int {
	for _, corpus := range w.Corpora {
		if corpus.Name == name {
			return corpus.Texts
		}
	}
	return 0
}
