package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of the case "leak".
const (
	leakNodes   = 2
	leakWorkers = 6
	// leakDescriptors is MaxFds of the smallest machine of all sheets.
	leakDescriptors = 3075
	// leakBurst is how many requests come at once to node 1, every leakEvery, and leakCrowd while most new
	// connections go there.
	leakBurst = 500
	leakCrowd = 900
	leakEvery = 1500 * time.Millisecond
	leakWork  = 400 * time.Millisecond
	// leakAtOnce workers are replaced every leakGap, for leakFor before the crowd and through it.
	leakAtOnce   = 2
	leakGap      = 1500 * time.Millisecond
	leakFor      = 19500 * time.Millisecond
	leakCrowdFor = 15 * time.Second
	leakCalm     = 4 * time.Second
	// drainFor is DrainMs and a little longer.
	drainFor = 2300 * time.Millisecond
	// leakRate is how many ordinary requests a second node 1 gets, each on a connection of its own.
	leakRate = 20
	// leakOwn is how many descriptors the stand-ins need.
	leakOwn = 8192
	// From the rule: from ContactMs on, served less than three quarters as often as in the seconds before.
	leakContact = 3 * time.Second
	leakBefore  = 6 * time.Second
	leakShare   = 0.75
)

// try is the first try of one request. It was read if it was answered at all.
type try struct {
	sent         time.Time
	read, served bool
}

// leakCase replaces workers, some at a time, again and again.
func leakCase(s *site) ([]string, error) {
	s.configure(map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "hold", "Host": "desk.example", "PathPrefix": "/hold/", "Kind": "non_idempotent", "Service": "desk",
			"TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": 1, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "desk", "MaxConnections": 610, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < leakOwn {
		return nil, fmt.Errorf("%w: the stand-ins need %d descriptors", errCannotRun, leakOwn)
	}
	s.descriptors = leakDescriptors
	serial := 0
	add := func() (*worker, error) {
		serial++
		return s.addWorker(workerOptions{
			id: fmt.Sprintf("i-%06d", serial), service: "desk", zone: string(rune('a' + serial%3)), slots: 128, queue: 64,
			work: func() time.Duration { return leakWork }, born: time.Now().UnixMilli(),
		})
	}
	var serving []*worker
	for range leakWorkers {
		w, err := add()
		if err != nil {
			return nil, err
		}
		serving = append(serving, w)
	}
	for number := range leakNodes {
		if err := s.addNode(number + 1); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	n := s.nodes[0]
	for _, each := range s.nodes {
		limit := unix.Rlimit{Cur: leakDescriptors, Max: leakDescriptors}
		if err := unix.Prlimit(each.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	var crowded atomic.Bool
	var mu sync.Mutex
	var tries []try
	done := func(made try) {
		mu.Lock()
		defer mu.Unlock()
		tries = append(tries, made)
	}
	clients.Go(func() { s.bursts(ctx, n, &crowded, done) })
	clients.Go(func() { s.newConnections(ctx, n, done) })
	time.Sleep(leakCalm)
	begun := time.Now()
	crowd := begun.Add(leakFor)
	for end := crowd.Add(leakCrowdFor); time.Now().Before(end); {
		next := time.Now().Add(leakGap)
		if !crowded.Load() && !time.Now().Before(crowd) {
			s.note("most new connections go to %s", n.name)
			crowd = time.Now()
			crowded.Store(true)
		}
		if s.trouble {
			for range leakAtOnce {
				w, err := add() // the new one starts first
				if err != nil {
					return nil, err
				}
				serving = append(serving, w)
				leaving := serving[0]
				serving = serving[1:]
				clients.Go(leaving.leave)
			}
		}
		s.note("%s holds %d descriptors and says ready: %v; workers so far: %d", n.name, n.descriptors(), n.isReady(), serial)
		time.Sleep(time.Until(next))
	}
	ended := time.Now()
	stop()
	clients.Wait()
	return s.leakViolations(n, tries, crowd, ended), nil
}

// leave ends a worker as planned: it says that it drains, serves on, and ends.
func (w *worker) leave() {
	w.site.note("%s drains", w.options.id)
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.site.store.Put("servers", w.options.id, w.entry("draining"))
	time.Sleep(drainFor)
	w.site.note("%s ends", w.options.id)
	w.site.store.Put("servers", w.options.id, nil)
	_ = w.server.Close()
}

// bursts sends many requests to a node at once, again and again.
func (s *site) bursts(ctx context.Context, n *node, crowded *atomic.Bool, done func(try)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		count := leakBurst
		if crowded.Load() {
			count = leakCrowd
		}
		for range count {
			calls.Go(func() { done(s.leakTry(n, "/hold/1")) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(leakEvery):
		}
	}
}

// leakTry sends one request.
func (s *site) leakTry(n *node, path string) try {
	sent := time.Now()
	got := s.send(context.Background(), n, call{method: http.MethodPost, host: "desk.example", path: path, body: []byte("hold"), deadline: 2500 * time.Millisecond})
	return try{sent: sent, read: got.status != 0, served: got.err == nil && got.status == http.StatusOK}
}

// newConnections sends ordinary requests to a node, each on a connection of its own.
func (s *site) newConnections(ctx context.Context, n *node, done func(try)) {
	own := n.withoutKept()
	ticker := time.NewTicker(time.Second / leakRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		calls.Go(func() { done(s.leakTry(own, "/hold/2")) })
	}
}

// withoutKept returns a node to whose clients each request is worth a connection of its own.
func (n *node) withoutKept() *node {
	own := *n
	own.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &own
}

// descriptors counts the open descriptors of a node.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// leakViolations compares the share of the requests read that were served, before and in the crowd.
func (s *site) leakViolations(n *node, tries []try, crowd, ended time.Time) []string {
	share := func(from, to time.Time) (read, served int) {
		for _, each := range tries {
			if each.read && !each.sent.Before(from) && each.sent.Before(to) {
				read++
				if each.served {
					served++
				}
			}
		}
		return read, served
	}
	readBefore, servedBefore := share(crowd.Add(-leakBefore), crowd)
	read, served := share(crowd.Add(leakContact), ended)
	s.note("%s served %d of %d requests that it read in the seconds before, and %d of %d from ContactMs on", n.name, servedBefore, readBefore, served, read)
	if read == 0 || readBefore == 0 {
		return []string{n.name + " read no request"}
	}
	if float64(served)/float64(read) < leakShare*float64(servedBefore)/float64(readBefore) {
		return []string{fmt.Sprintf("while most new connections went to %s, it served %d of %d requests that it read from ContactMs on, and %d of %d in the seconds before", n.name, served, read, servedBefore, readBefore)}
	}
	return nil
}
