// Package bench measures what tinarch adds, side by side with a baseline in one
// run, so that the noise of a machine falls on both.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/result"
)

const (
	benchKey     = "bench"
	benchKind    = "bench"
	benchModel   = "bench"
	startTimeout = 60 * time.Second
)

// fastModel is an emulated engine that takes no time worth measuring.
func fastModel() labengine.Model {
	model := labengine.SmallModel()
	model.StepBase = 200 * time.Microsecond
	model.PrefillToken = 0
	model.CachedToken = 0
	model.RoleChange = 0
	return model
}

func benchCatalog(repeatable bool) *tinarchv1.Catalog {
	return &tinarchv1.Catalog{
		Classes:  []*tinarchv1.PriorityClass{{Name: "c", Weight: 1}},
		Pools:    []*tinarchv1.Pool{{Name: "pool", MaxRunningPerEngine: 100_000}},
		Models:   []*tinarchv1.Model{{Name: benchModel, Pool: "pool", ContextTokens: 1 << 20, DefaultVersion: "v"}},
		Versions: []*tinarchv1.ModelVersion{{Model: benchModel, Name: "v", Weights: "w"}},
		Kinds: []*tinarchv1.RequestKind{{
			Name: benchKind, Model: benchModel, Repeatable: repeatable, DeadlineMs: 3_600_000, MaxOutputTokens: 1 << 18,
		}},
		Tenants: []*tinarchv1.Tenant{{Name: "t", PriorityClass: "c", DefaultKind: benchKind, KeySha256: []string{catalog.KeyDigest(benchKey)}}},
	}
}

// startCluster runs nodes with fast engines.
func startCluster(ctx context.Context, nodes, engines int, model labengine.Model, repeatable bool) (*cluster.Cluster, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.Start(cluster.Options{
		Name: "bench", Zones: []string{"a", "b", "c"}, Nodes: nodes, TimeScale: 1,
		Pools: []cluster.Pool{{Name: "pool", Count: engines, Model: model}},
	})
	if err != nil {
		return nil, err
	}
	if err := c.Await(startCtx, "nodes that have caught up", c.CaughtUp); err != nil {
		c.Close()
		return nil, err
	}
	if _, err := c.Apply(startCtx, benchCatalog(repeatable)); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.AwaitEngines(startCtx, engines); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// FirstToken is the added time to the first token.
type FirstToken struct {
	RequestsPerSecond float64    `json:"requests_per_second"`
	Requests          int        `json:"requests"`
	DirectMillis      [3]float64 `json:"direct_ms_p50_p95_p99"`
	ThroughMillis     [3]float64 `json:"through_node_ms_p50_p95_p99"`
	AddedMillis       [3]float64 `json:"added_ms_p50_p95_p99"`
}

// MeasureFirstToken sends requests at a steady rate, each in turn to an engine
// directly and through a node, and compares the distributions.
func MeasureFirstToken(ctx context.Context, perSecond float64, requests int) (FirstToken, error) {
	c, err := startCluster(ctx, 3, 4, fastModel(), true)
	if err != nil {
		return FirstToken{}, err
	}
	defer c.Close()
	caller := newCaller()
	defer caller.close()
	direct, through := newHistogram(), newHistogram()
	var mu sync.Mutex
	var group sync.WaitGroup
	failed := 0
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	const warmUp = 200
	for i := range requests + warmUp {
		select {
		case <-ctx.Done():
			return FirstToken{}, ctx.Err()
		case <-ticker.C:
		}
		target, histogram := c.Engines[i/2%len(c.Engines)].Address(), direct
		if i%2 == 1 {
			target, histogram = c.Nodes[i/2%len(c.Nodes)].CallersAddress(), through
		}
		group.Add(1)
		go func() {
			defer group.Done()
			first, err := caller.firstToken(ctx, target, fmt.Sprint("request ", i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed++
			case i >= warmUp:
				_ = histogram.RecordValue(first.Microseconds())
			}
		}()
	}
	group.Wait()
	if failed > 0 {
		return FirstToken{}, result.New(result.Internal, "%d of %d requests failed", failed, requests)
	}
	measured := FirstToken{
		RequestsPerSecond: perSecond, Requests: requests,
		DirectMillis: quantiles(direct), ThroughMillis: quantiles(through),
	}
	for i := range measured.AddedMillis {
		measured.AddedMillis[i] = measured.ThroughMillis[i] - measured.DirectMillis[i]
	}
	return measured, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantiles(h *hdrhistogram.Histogram) [3]float64 {
	return [3]float64{
		float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(95)) / 1000, float64(h.ValueAtQuantile(99)) / 1000,
	}
}

// caller is a bare HTTP client.
type caller struct{ client *http.Client }

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

func (c *caller) open(ctx context.Context, address, prompt string, tokens int) (*http.Response, error) {
	return c.openKeyed(ctx, address, prompt, tokens, "")
}

// drainOne sends a request and reads its stream to the end.
func (c *caller) drainOne(ctx context.Context, address, prompt string, tokens int, key string) error {
	response, err := c.openKeyed(ctx, address, prompt, tokens, key)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (c *caller) openKeyed(ctx context.Context, address, prompt string, tokens int, key string) (*http.Response, error) {
	request := openai.Request{Model: benchModel, Prompt: &prompt, MaxTokens: tokens, Stream: true}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+string(openai.Completions), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	sent.Header.Set("Authorization", "Bearer "+benchKey)
	if key != "" {
		sent.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(sent)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, result.New(result.Internal, "status %d: %s", response.StatusCode, content)
	}
	return response, nil
}

func (c *caller) firstToken(ctx context.Context, address, prompt string) (time.Duration, error) {
	began := time.Now()
	response, err := c.open(ctx, address, prompt, 2)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var one [1]byte
	if _, err := response.Body.Read(one[:]); err != nil {
		return 0, err
	}
	first := time.Since(began)
	_, err = io.Copy(io.Discard, response.Body)
	return first, err
}

// Relay is the processor time of a relayed token.
type Relay struct {
	Streams       int     `json:"streams"`
	Tokens        int     `json:"tokens"`
	NodeMicros    float64 `json:"node_us_per_token"`
	CopyMicros    float64 `json:"copy_us_per_token"`
	Ratio         float64 `json:"ratio"`
	TokensPerCore float64 `json:"node_tokens_per_second_per_core"`
	Rounds        int     `json:"rounds"`
}

// processorTime returns the processor time used by this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MeasureRelay relays streams through a node and through a bare reverse proxy
// that copies and flushes, in alternating rounds, and compares the processor time
// that each adds to calling the engine directly. Engine, caller and relay share
// this process, so the direct rounds are subtracted from both.
func MeasureRelay(ctx context.Context, streams, tokens, rounds int) (Relay, error) {
	model := fastModel()
	model.StepBase = 5 * time.Millisecond
	c, err := startCluster(ctx, 1, 1, model, true)
	if err != nil {
		return Relay{}, err
	}
	defer c.Close()
	engineAddress := c.Engines[0].Address()
	proxy, err := startCopyProxy(engineAddress)
	if err != nil {
		return Relay{}, err
	}
	defer proxy.Close()
	caller := newCaller()
	defer caller.close()
	round := func(address string) (time.Duration, error) {
		return caller.drainAll(ctx, address, streams, tokens)
	}
	addresses := []string{engineAddress, proxy.address, c.Nodes[0].CallersAddress()}
	var totals [3]time.Duration
	for number := range rounds + 1 {
		for i, address := range addresses {
			used, err := round(address)
			if err != nil {
				return Relay{}, result.New(result.Internal, "round %d, way %d: %v", number, i, err)
			}
			if number > 0 { // the first round warms up
				totals[i] += used
			}
		}
	}
	count := float64(streams * tokens * rounds)
	node := float64((totals[2] - totals[0]).Microseconds()) / count
	bare := float64((totals[1] - totals[0]).Microseconds()) / count
	return Relay{
		Streams: streams, Tokens: tokens, Rounds: rounds,
		NodeMicros: node, CopyMicros: bare, Ratio: node / bare, TokensPerCore: 1e6 / node,
	}, nil
}

// drainAll reads streams side by side and returns the processor time used.
func (c *caller) drainAll(ctx context.Context, address string, streams, tokens int) (time.Duration, error) {
	before := processorTime()
	errs := make(chan error, streams)
	for i := range streams {
		go func() {
			response, err := c.open(ctx, address, fmt.Sprint("stream ", i), tokens)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			errs <- err
		}()
	}
	for range streams {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return processorTime() - before, nil
}

// copyProxy is the baseline: it passes a request on, and copies and flushes what
// it reads.
type copyProxy struct {
	server  *http.Server
	client  *http.Client
	target  string
	address string
}

func startCopyProxy(target string) (*copyProxy, error) {
	listener, err := platform.Listen()
	if err != nil {
		return nil, err
	}
	p := &copyProxy{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}},
		target: target, address: listener.Addr().String(),
	}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *copyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(flushWriter{w, http.NewResponseController(w)}, response.Body)
}

// flushWriter flushes after each write.
type flushWriter struct {
	target     io.Writer
	controller *http.ResponseController
}

// Write implements io.Writer.
func (f flushWriter) Write(content []byte) (int, error) {
	count, err := f.target.Write(content)
	if err != nil {
		return count, err
	}
	return count, f.controller.Flush()
}

// Close stops the proxy.
func (p *copyProxy) Close() {
	_ = p.server.Close()
	p.client.CloseIdleConnections()
}
