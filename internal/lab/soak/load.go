package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// class is a kind of request.
type class struct {
	name, prefix, routeKind, service string
	resumable                        bool
}

func (c class) repeatable() bool { return c.routeKind == "idempotent" || c.resumable }

var classes = []class{
	{"status", "/status/", "idempotent", plain, false},
	{"submit", "/submit/", "non_idempotent", plain, false},
	{"verdict", "/verdict/", "streaming", engines, false},
	{"check", "/check/", "streaming", engines, true},
}

// Sizes and durations of the load.
const (
	callerCount   = 12
	callerPause   = 60 * time.Millisecond
	deadlineMs    = 4000
	clientTimeout = 9 * time.Second
	abandonOneIn  = 20
)

// observation is what a caller saw of one request.
type observation struct {
	id        string
	class     class
	sent      time.Time
	status    int
	header    http.Header
	body      string
	err       error
	abandoned bool
	// tenant is the caller's tenant, and key its API key.
	tenant, key string
	// node is the node that the caller asked; answered is when the head of the answer arrived.
	node     string
	answered time.Time
	// ended is when the request ended for its caller, with or without an answer.
	ended time.Time
	// framed tells that the answer has a length or chunks.
	framed bool
	// probe marks requests that only test which configuration is in force.
	probe bool
	// timeout is the caller's timeout, and prompt the parts of its prompt; empty if there is
	// none.
	timeout time.Duration
	prompt  string
	// target is the rest of the path after the class's prefix; empty means the id.
	target string
	// after is the last event that the caller has, and resumes its attempt that brought the first
	// one; empty if it has none.
	after, resumes string
	// followed marks the tries of streams that are checked as a whole (stream).
	followed bool
	// versions are the software versions whose events the body held.
	versions []string
	// earlier tells that the node asked ran an earlier build before or after the request.
	earlier bool
}

// load sends requests and records what callers see.
type load struct {
	site *site

	mu           sync.Mutex
	streams      []stream
	observations []observation
	quietSince   time.Time
}

func newLoad(s *site) *load { return &load{site: s} }

// all returns what callers have seen.
func (l *load) all() []observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.observations)
}

func (l *load) markQuiet() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quietSince = time.Now()
}

func (l *load) run(ctx context.Context) {
	var callers sync.WaitGroup
	for number := range callerCount {
		random := l.random(number + 1)
		callers.Go(func() { l.call(ctx, number, random) })
	}
	callers.Go(func() { l.probe(ctx) })
	if l.site.options.Overload {
		for number := range burstCallers {
			callers.Go(func() { l.sendBursts(ctx, number) })
		}
	}
	if l.site.options.Storms {
		callers.Go(func() { l.watchStorm(ctx) })
	}
	if l.site.options.Poison {
		callers.Go(func() { l.sendPoison(ctx) })
	}
	if l.site.options.Parts {
		callers.Go(func() { l.sendParts(ctx) })
	}
	callers.Wait()
}

// random returns a source of random numbers for one of the callers.
func (l *load) random(number int) *rand.Rand {
	return rand.New(rand.NewPCG(l.site.options.Seed, uint64(number)))
}

// call runs one caller, which has its own connections.
func (l *load) call(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: number%2 == 0}
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		id := fmt.Sprintf("%04x%012x", number, count)
		if l.site.options.Versions && random.IntN(2) == 0 {
			l.follow(ctx, transport, random, number, id)
		} else {
			l.add(l.sendOne(transport, random, number, id))
		}
		sleep(ctx, time.Duration(random.Int64N(int64(2*callerPause))))
	}
}

func (l *load) add(got observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations = append(l.observations, got)
}

func (l *load) sendOne(transport *http.Transport, random *rand.Rand, number int, id string) observation {
	got := observation{id: id, class: classes[random.IntN(len(classes))], sent: time.Now(), tenant: tenantOf(number), key: keyOf(number)}
	got.timeout = clientTimeout
	if random.IntN(abandonOneIn) == 0 {
		got.abandoned = true
		got.timeout = time.Duration(random.IntN(100)) * time.Millisecond
	}
	address := l.site.address(random)
	body := strings.Repeat("b", random.IntN(6000))
	if got.class.service == engines {
		got.prompt = fmt.Sprintf("a%d:2000,%s:1000", random.IntN(5), id)
	}
	return l.send(transport, address, got, body)
}

// send sends a request and returns what the caller saw of it.
func (l *load) send(transport *http.Transport, address string, got observation, body string) (seen observation) {
	ctx, cancel := context.WithTimeout(context.Background(), max(got.timeout, 0))
	defer cancel()
	path := got.class.prefix + cmp.Or(got.target, got.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		got.err = err
		return got
	}
	request.GetBody = nil // the transport must not resend it on its own
	request.Host = host
	request.Header.Set("X-Request-Id", got.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	request.Header.Set("X-Api-Key", got.key)
	request.Header.Set("X-Tenant", "someone else")
	if got.prompt != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", "3000,20")
		request.Header.Set("X-Prompt-Prefix", got.prompt)
	}
	if got.resumes != "" {
		request.Header.Set("Last-Event-Id", got.after)
		request.Header.Set("Resumes", got.resumes)
	}
	got.node, got.earlier = l.site.nameOf(address), l.site.runsEarlier(address)
	defer func() { seen.earlier = seen.earlier || l.site.runsEarlier(address) }()
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.err, got.ended = err, time.Now()
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.answered = time.Now()
	content, err := io.ReadAll(response.Body)
	got.status, got.header, got.err = response.StatusCode, response.Header, err
	got.body, got.versions = withoutVersions(string(content))
	got.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	got.ended = time.Now()
	return got
}

// runsEarlier reports whether the node that serves callers at an address runs an earlier build.
func (s *site) runsEarlier(address string) bool {
	return s.options.Earlier != "" && s.nodes[slices.Index(s.callers, address)].ProgramAt(time.Now()) == s.options.Earlier
}

// nameOf returns the name of the node that serves callers at an address.
func (s *site) nameOf(address string) string {
	return s.nodes[slices.Index(s.callers, address)].Name
}

// completeAnswer returns the complete answer of a worker to a request.
func completeAnswer(id string) string { return fleetworker.Body(id, eventCount, 0) }
