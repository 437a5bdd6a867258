package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// Figures of the case "parts".
const (
	partsNodes = 3
	// partsKept is how many tokens an engine keeps, the least of all sheets.
	partsKept = 305_000
	// partsEach is how many parts the prompt of a client has that doesn't behave, of one token each.
	partsEach = 500
	// partsSenders is how many such clients there are, each with one request at a time, all at node 1.
	partsSenders  = 16
	partsCalm     = 5 * time.Second
	partsPressure = 30 * time.Second
	// partsAfter is how long is watched once those clients have left.
	partsAfter = 20 * time.Second
	// partsRate is how many ordinary requests a second each node gets, and partsWait how long each waits.
	partsRate = 10
	partsWait = 3 * time.Second
	// A node hangs if in partsSpan it serves less than a quarter of the ordinary requests.
	partsSpan = 10 * time.Second
)

// ordinaryCall is what became of one ordinary request.
type ordinaryCall struct {
	node   string
	sent   time.Time
	served bool
}

// partsCase lets clients send requests of legal size whose prompts have very many short parts, and checks whether
// ordinary callers are still served.
func partsCase(s *site) ([]string, error) {
	ordinary, begun, ended, err := s.playParts(manyParts{count: partsEach, tokens: 1, pressure: partsPressure, after: partsAfter})
	if err != nil {
		return nil, err
	}
	return s.partsViolations(ordinary, begun, ended), nil
}

// Figures of the case "memory".
const (
	// memoryMegabytes and memoryDescriptors are those of the smallest machine of all sheets.
	memoryMegabytes   = 144
	memoryDescriptors = 3075
	memoryEach        = 1000
	memoryPressure    = 45 * time.Second
)

// memoryCase is partsCase with parts of no tokens, and checks the memory of the nodes.
func memoryCase(s *site) ([]string, error) {
	s.megabytes, s.descriptors = memoryMegabytes, memoryDescriptors
	if _, _, _, err := s.playParts(manyParts{count: memoryEach, pressure: memoryPressure}); err != nil {
		return nil, err
	}
	var violations []string
	for _, n := range s.nodes {
		held := n.memory()
		s.note("%s has held up to %d kB; its machine has %d MB", n.name, held, memoryMegabytes)
		if held > memoryMegabytes<<10 {
			violations = append(violations, fmt.Sprintf("%s has held %d kB, its machine has %d MB", n.name, held, memoryMegabytes))
		}
	}
	return violations, nil
}

// manyParts is what clients that don't behave send: prompts of count parts with so many tokens each, for a time.
type manyParts struct {
	count, tokens   int
	pressure, after time.Duration
}

// playParts plays such clients beside ordinary ones. It returns what became of the ordinary requests, and when the
// others began and the play ended.
func (s *site) playParts(many manyParts) (ordinary []ordinaryCall, begun, ended time.Time, err error) {
	s.configure(map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{
				"Name": "read", "Host": "desk.example", "PathPrefix": "/read/", "Kind": "streaming", "Service": "llm", "Sticky": true,
				"TimeoutMs": 5000, "TargetLatencyMs": 500, "TargetGapMs": 500, "Priority": 1, "MaxAttempts": 2,
			},
			map[string]any{
				"Name": "hold", "Host": "desk.example", "PathPrefix": "/hold/", "Kind": "non_idempotent", "Service": "desk",
				"TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2,
			},
		},
		"Services": []any{
			map[string]any{"Name": "llm", "MaxConnections": 300, "HealthPath": "/health", "Engine": map[string]any{
				"Slots": 48, "KvCapacityTokens": partsKept, "KvTokenBytes": 18432, "LinkMbps": 370000, "KvHoldS": 5, "RoleSwitchS": 1,
			}},
			map[string]any{"Name": "desk", "MaxConnections": 110, "HealthPath": "/health"},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	var engines []*fleetworker.Worker
	for number, stage := range []string{"prefill", "decode", "decode"} {
		engine := fleetworker.Start(fleetworker.Options{
			ID: fmt.Sprintf("e%d", number+1), Service: "llm", Zone: string(rune('a' + number)), Stage: stage, Slots: 48, Pause: 10 * time.Millisecond,
		})
		engines = append(engines, engine)
		s.store.Put("servers", engine.ID(), engine.Entry("ready"))
	}
	defer func() {
		for _, engine := range engines {
			engine.Close()
		}
	}()
	for number := range 3 {
		if _, err := s.addWorker(workerOptions{
			id: fmt.Sprintf("w%d", number+1), service: "desk", zone: string(rune('a' + number)), slots: 6, queue: 6,
			work: func() time.Duration { return 15 * time.Millisecond },
		}); err != nil {
			return nil, begun, ended, err
		}
	}
	for number := range partsNodes {
		if err := s.addNode(number + 1); err != nil {
			return nil, begun, ended, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, begun, ended, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	var mu sync.Mutex
	for _, n := range s.nodes {
		clients.Go(func() {
			s.ordinaryLoad(ctx, n, func(done ordinaryCall) {
				mu.Lock()
				defer mu.Unlock()
				ordinary = append(ordinary, done)
			})
		})
	}
	time.Sleep(partsCalm)
	s.note("%d clients send prompts of many parts to %s: %v", partsSenders, s.nodes[0].name, s.trouble)
	begun = time.Now()
	pressure, relieve := context.WithTimeout(ctx, many.pressure)
	defer relieve()
	for range partsSenders {
		clients.Go(func() { s.partsLoad(pressure, s.nodes[0], many) })
	}
	for ended := begun.Add(many.pressure + many.after); time.Now().Before(ended); time.Sleep(time.Second) {
		for _, n := range s.nodes {
			s.note("%s: ready %v", n.name, n.isReady())
		}
	}
	ended = time.Now()
	stop()
	clients.Wait()
	return ordinary, begun, ended, nil
}

// ordinaryLoad sends ordinary requests to a node: by turns one to the desk, and a prompt of three parts.
func (s *site) ordinaryLoad(ctx context.Context, n *node, done func(ordinaryCall)) {
	ticker := time.NewTicker(time.Second / partsRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			sent := time.Now()
			var got answer
			if number%2 == 0 {
				got = s.send(context.Background(), n, call{method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/hold/%d", number), body: []byte("hold"), deadline: partsWait})
			} else {
				got = s.send(context.Background(), n, call{
					method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/read/%d", number), body: []byte("read"), deadline: partsWait,
					header: http.Header{"X-Model": {"m"}, "X-Token-Usage": {"1200,4"}, "X-Prompt-Prefix": {fmt.Sprintf("a1:600,b%x:400,%x:200", number%8, rand.Uint32())}},
				})
			}
			done(ordinaryCall{node: n.name, sent: sent, served: got.err == nil && got.status == http.StatusOK})
		})
	}
}

// partsLoad sends one request after the other whose prompt has very many short parts; without trouble
// it has three.
func (s *site) partsLoad(ctx context.Context, n *node, many manyParts) {
	for ctx.Err() == nil {
		prompt := make([]string, many.count)
		for at := range prompt {
			prompt[at] = fmt.Sprintf("%x:%d", rand.Uint64()>>16, many.tokens)
		}
		if !s.trouble {
			prompt = []string{"c1:300", "c2:100", fmt.Sprintf("%x:100", rand.Uint32())}
		}
		got := s.send(ctx, n, call{
			method: http.MethodPost, host: "desk.example", path: "/read/many", body: []byte("read"), deadline: 5 * time.Second,
			header: http.Header{"X-Model": {"m"}, "X-Token-Usage": {fmt.Sprintf("%d,4", max(many.count*many.tokens, 1))}, "X-Prompt-Prefix": {strings.Join(prompt, ",")}},
		})
		if got.err != nil || got.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// partsViolations returns the spans in which a node served less than a quarter of the ordinary requests.
func (s *site) partsViolations(ordinary []ordinaryCall, begun, ended time.Time) []string {
	var violations []string
	for _, n := range s.nodes {
		for from := begun; !from.Add(partsSpan).After(ended); from = from.Add(partsSpan) {
			sent, served := 0, 0
			for _, done := range ordinary {
				if done.node == n.name && !done.sent.Before(from) && done.sent.Before(from.Add(partsSpan)) {
					sent++
					if done.served {
						served++
					}
				}
			}
			s.note("%s served %d of %d ordinary requests sent from %.1f s on", n.name, served, sent, from.Sub(s.begun).Seconds())
			if sent > 0 && 4*served < sent {
				violations = append(violations, fmt.Sprintf("%s served %d of the %d ordinary requests that were sent to it from %.1f s to %.1f s", n.name, served, sent, from.Sub(s.begun).Seconds(), from.Add(partsSpan).Sub(s.begun).Seconds()))
			}
		}
	}
	for _, n := range s.nodes {
		s.note("%s has held up to %d kB", n.name, n.memory())
	}
	return violations
}
