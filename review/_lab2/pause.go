package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// Figures of the case "pause".
const (
	pauseNodes   = 3
	pauseWorkers = 4
	pauseSlots   = 4
	pauseQueue   = 1
	// pauseRate is how many requests a second each node gets.
	pauseRate = 40
	// pauseSeconds is the Retry-After of a full worker.
	pauseSeconds = 2.0
	pauseWarm    = 5 * time.Second
	pauseCut     = 8 * time.Second
	pauseAfter   = 3 * time.Second
	// From the rule: when requests begin to count, and how many may come.
	pauseGrace = 500 * time.Millisecond
	pauseMost  = 2
)

// pauseCase cuts one node off from all workers, while the workers are full now and then and say so
// with 503 and Retry-After.
func pauseCase(s *site) ([]string, error) {
	s.configure(map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "hold", "Host": "desk.example", "PathPrefix": "/hold/", "Kind": "non_idempotent", "Service": "desk",
			"TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "desk", "MaxConnections": 110, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	for number := range pauseWorkers {
		if _, err := s.addWorker(workerOptions{
			id: fmt.Sprintf("w%d", number+1), service: "desk", zone: string(rune('a' + number%3)), slots: pauseSlots, queue: pauseQueue,
			work:       func() time.Duration { return 60*time.Millisecond + rand.N(140*time.Millisecond) },
			retryAfter: fmt.Sprint(pauseSeconds),
		}); err != nil {
			return nil, err
		}
	}
	for number := range pauseNodes {
		if err := s.addNode(number + 1); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	for _, n := range s.nodes {
		clients.Go(func() { s.pauseLoad(ctx, n) })
	}
	time.Sleep(pauseWarm)
	cutOff := s.nodes[0]
	if s.trouble {
		s.note("%s is cut off from all workers", cutOff.name)
		for _, w := range s.workers {
			w.links.Cut(linkcut.Hang, cutOff.ip)
		}
	}
	time.Sleep(pauseCut)
	if s.trouble {
		s.note("the cut heals")
		for _, w := range s.workers {
			w.links.Restore(cutOff.ip)
		}
	}
	time.Sleep(pauseAfter)
	stop()
	clients.Wait()
	return s.pauseViolations(cutOff.ip), nil
}

// pauseLoad sends requests to a node at a steady rate.
func (s *site) pauseLoad(ctx context.Context, n *node) {
	ticker := time.NewTicker(time.Second / pauseRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			s.send(context.Background(), n, call{method: http.MethodPost, host: "desk.example", path: "/hold/1", body: []byte("hold"), deadline: 2 * time.Second})
		})
	}
}

// pauseViolations returns the pauses during which more requests reached a worker than may. The node
// that was cut off is excused.
func (s *site) pauseViolations(excused netip.Addr) []string {
	var violations []string
	pauses := 0
	for _, w := range s.workers {
		w.mu.Lock()
		for _, asking := range w.arrivals {
			if asking.refused.IsZero() || asking.machine == excused {
				continue
			}
			pauses++
			from, to := asking.refused.Add(pauseGrace), asking.refused.Add(time.Duration(pauseSeconds*float64(time.Second)))
			var came []string
			for _, other := range w.arrivals {
				if other.machine == asking.machine && other.at.After(from) && other.at.Before(to) {
					came = append(came, other.id)
				}
			}
			if len(came) > pauseMost {
				violations = append(violations, fmt.Sprintf("%s answered machine %s 503 with Retry-After %v at %.3f s, and %d requests reached it from that machine from half a second later until the end of that time: %v",
					w.options.id, asking.machine, pauseSeconds, asking.refused.Sub(s.begun).Seconds(), len(came), came))
			}
		}
		w.mu.Unlock()
	}
	s.note("%d pauses were asked for", pauses)
	return violations
}
