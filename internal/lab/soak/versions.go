package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// softwareVersions are the versions that engines have.
var softwareVersions = []string{"v1", "v1.1", "v2"}

const (
	// drainTime is how long a replaced engine serves after its entry says that it drains.
	drainTime = 2500 * time.Millisecond
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 3
	// takeUpPause bounds the random pause before that. A caller waits as told if it is told.
	takeUpPause = 300 * time.Millisecond
	// minTakenUp is the number of streams taken up from which their share that goes on is judged, and
	// takenUpShare the least share relative to that of new streams.
	minTakenUp   = 12
	takenUpShare = 0.5
)

// releases numbers the engines that were started as replacements.
type releases struct {
	mu     sync.Mutex
	number int
}

func (r *releases) next() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	return r.number
}

// versioned gives an engine one of the first two versions. There are at least two workers of each
// stage.
func (s *site) versioned(options fleetworker.Options) fleetworker.Options {
	if s.options.Versions && options.Service == engines {
		options.Software = softwareVersions[int(options.ID[len(options.ID)-1])%2]
	}
	return options
}

// decoding returns the decode engines that don't drain.
func (s *site) decoding() []*soakWorker {
	return slices.DeleteFunc(s.runningWorkers(), func(w *soakWorker) bool {
		return w.options.Stage != "decode" || *w.state.Load() != "ready" || w.leaving.Load()
	})
}

// randomEngine returns a random decode engine that doesn't drain, nil if only one is left.
func (s *site) randomEngine() *soakWorker {
	decoding := s.decoding()
	if len(decoding) < 2 {
		return nil
	}
	return decoding[s.random.IntN(len(decoding))]
}

// startReplacement starts an engine like another one, with a random version.
func (s *site) startReplacement(options fleetworker.Options) string {
	options.ID = fmt.Sprintf("%s-release-%d", options.Service, s.releases.next())
	options.Software = softwareVersions[s.random.IntN(len(softwareVersions))]
	if err := s.addWorker(options); err != nil {
		return err.Error()
	}
	return options.ID + " of " + options.Software
}

// releaseEngine starts an engine, makes another one drain, and ends that later. Releases overlap.
func (s *site) releaseEngine(context.Context, time.Duration) string {
	old := s.randomEngine()
	if old == nil {
		return "no engine was replaced"
	}
	started := s.startReplacement(old.options)
	old.leaving.Store(true)
	s.list(old, "draining")
	time.AfterFunc(drainTime, func() { s.end(old) })
	return fmt.Sprintf("%s replaces %s of %s", started, old.ID(), old.options.Software)
}

// crashEngine ends an engine with its streams. Another one starts, and its entry stays for a moment.
func (s *site) crashEngine(context.Context, time.Duration) string {
	old := s.randomEngine()
	if old == nil {
		return "no engine crashed"
	}
	started := s.startReplacement(old.options)
	s.end(old)
	return fmt.Sprintf("crashed %s of %s, %s started", old.ID(), old.options.Software, started)
}

// end ends an engine, and removes its entry after replaceDelay.
func (s *site) end(old *soakWorker) {
	if old.options.OnCrash != nil { // it replaces the engine itself
		old.Crash()
		return
	}
	if old.ended.Swap(true) {
		return // while it was draining
	}
	old.proxy.Close()
	old.Crash()
	s.mu.Lock()
	s.workers = slices.DeleteFunc(s.workers, func(other *soakWorker) bool { return other == old })
	s.ended = append(s.ended, old)
	s.mu.Unlock()
	time.AfterFunc(replaceDelay, func() { s.store.Put("servers", old.ID(), nil) })
}

// withoutVersions returns a body without the lines that show software versions, and these versions,
// each once.
func withoutVersions(body string) (rest string, versions []string) {
	var out strings.Builder
	for line := range strings.Lines(body) {
		version, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), fleetworker.SoftwareField)
		switch {
		case !found:
			out.WriteString(line)
		case strings.HasSuffix(line, "\n") && !slices.Contains(versions, version):
			versions = append(versions, version)
		}
	}
	return out.String(), versions
}

// stream is what a caller saw of a stream over its tries.
type stream struct {
	tries []observation
	// quiet tells that all tries were sent after the faults had ended.
	quiet bool
}

// eventIDs returns the ids of the whole events of a body.
func eventIDs(body string) []string {
	var ids []string
	for event := range strings.SplitSeq(body, "\n\n") {
		id, _, whole := strings.Cut(strings.TrimPrefix(event, "id: "), "\ndata: ")
		if whole && strings.HasPrefix(event, "id: ") {
			ids = append(ids, id)
		}
	}
	return ids
}

// followedClass is the class of the streams that callers follow.
var followedClass = classes[slices.IndexFunc(classes, func(c class) bool { return c.resumable })]

// follow sends a stream, leaves it midway at times, and takes it up at a random node until it is
// whole.
func (l *load) follow(ctx context.Context, transport *http.Transport, random *rand.Rand, number int, id string) {
	var s stream
	got := observation{class: followedClass, tenant: tenantOf(number), key: keyOf(number), followed: true}
	got.prompt = fmt.Sprintf("a%d:2000,%s:1000", random.IntN(5), id)
	body := strings.Repeat("b", random.IntN(6000))
	for try := 0; try <= maxTakeUps && ctx.Err() == nil; try++ {
		got.id, got.sent, got.timeout = fmt.Sprintf("f%s%x", id[2:], try), time.Now(), clientTimeout
		got.target = id
		if random.IntN(2) == 0 && try < maxTakeUps {
			got.timeout = time.Duration(random.Int64N(int64(2 * eventCount * eventPause)))
		}
		address := l.site.callers[random.IntN(len(l.site.callers))]
		seen := l.send(transport, address, got, body)
		l.add(seen)
		s.tries = append(s.tries, seen)
		ids := eventIDs(seen.body)
		if len(ids) > 0 {
			got.after = ids[len(ids)-1]
			if got.resumes == "" {
				got.resumes = got.id
			}
		}
		if got.after == strconv.Itoa(eventCount) {
			break
		}
		pause := time.Duration(random.Int64N(int64(takeUpPause)))
		if seconds, err := strconv.ParseFloat(seen.header.Get("Retry-After"), 64); err == nil {
			pause = max(pause, time.Duration(seconds*float64(time.Second)))
		}
		sleep(ctx, min(pause, time.Second))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.quiet = !l.quietSince.IsZero() && len(s.tries) > 0 && s.tries[0].sent.After(l.quietSince.Add(quietPeriod/2))
	l.streams = append(l.streams, s)
}

// followedStreams returns the streams that callers have followed.
func (l *load) followedStreams() []stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.streams)
}

// streamReport counts the streams that callers followed.
type streamReport struct {
	Streams, Whole int
	// TakenUp counts the tries that took a stream up, and WentOn those of them that brought an event.
	// Refused are those that were answered 503.
	TakenUp, WentOn, Refused int
	// QuietTakenUp and QuietWentOn count those of streams that began in the last half of the quiet
	// period, and QuietBegun and QuietServed its tries that began a stream.
	QuietTakenUp, QuietWentOn, QuietBegun, QuietServed int
	// broken are the streams with events that don't belong together.
	broken []string
}

func streamReportOf(streams []stream) *streamReport {
	r := &streamReport{}
	for _, s := range streams {
		r.add(s)
	}
	return r
}

func (r *streamReport) add(s stream) {
	r.Streams++
	var events, versions []string
	begunByEarlier := false
	for _, try := range s.tries {
		ids := eventIDs(try.body)
		// An earlier build tells nobody what it has begun, so that this one must refuse the rest.
		if !begunByEarlier {
			r.count(try, len(ids) > 0, s.quiet)
		}
		begunByEarlier = begunByEarlier || len(events) == 0 && len(ids) > 0 && try.earlier
		events = append(events, ids...)
		if joins(versions, try) && !try.earlier {
			r.broken = append(r.broken, fmt.Sprintf("stream %s holds events of the versions %v and, by try %s at %s, of %v", s.tries[0].id, versions, try.id, try.node, try.versions))
		}
		versions = append(versions, try.versions...)
	}
	first := s.tries[0].id
	for i, id := range events {
		if id != strconv.Itoa(i+1) {
			r.broken = append(r.broken, fmt.Sprintf("stream %s has the events %v", first, events))
			break
		}
	}
	if len(events) == eventCount {
		r.Whole++
	}
}

// joins reports whether a try brought events of another version than those before, or of several.
// What an earlier build joins isn't judged.
func joins(before []string, try observation) bool {
	for _, version := range try.versions {
		if version != append(slices.Clone(before), try.versions...)[0] {
			return true
		}
	}
	return false
}

// count counts a try. One that its caller left before it could bring an event isn't judged.
func (r *streamReport) count(try observation, wentOn, quiet bool) {
	if try.earlier {
		return
	}
	left := try.timeout < clientTimeout && !wentOn && try.status != http.StatusServiceUnavailable
	takesUp := try.resumes != ""
	switch {
	case left:
		return
	case takesUp:
		r.TakenUp++
		r.WentOn += one(wentOn)
		r.Refused += one(try.status == http.StatusServiceUnavailable)
		r.QuietTakenUp += one(quiet)
		r.QuietWentOn += one(quiet && wentOn)
	case quiet:
		r.QuietBegun++
		r.QuietServed += one(wentOn)
	}
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// violations returns the streams that hold what doesn't belong together, and whether those taken up
// without faults went on too seldom.
func (r *streamReport) violations() []string {
	broken := slices.Clone(r.broken)
	if r.QuietTakenUp < minTakenUp || r.QuietBegun == 0 {
		return broken
	}
	wentOn, served := float64(r.QuietWentOn)/float64(r.QuietTakenUp), float64(r.QuietServed)/float64(r.QuietBegun)
	if wentOn < takenUpShare*served {
		broken = append(broken, fmt.Sprintf("in the quiet period %d of %d streams that were taken up went on, and %d of %d began", r.QuietWentOn, r.QuietTakenUp, r.QuietServed, r.QuietBegun))
	}
	return broken
}
