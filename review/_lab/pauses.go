package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// The case: one of three machines is partitioned from all workers. It serves its clients over
// connections of the other two. Workers that are full turn requests away with 503 and Retry-After.
const (
	plainSlots = 6
	plainQueue = 2
	plainWork  = 60 * time.Millisecond
	// retryAfter is what a full worker adds to its 503, in seconds.
	retryAfter = 3
	// noticed is how long after the 503 requests begin to count, and allowed how many may come.
	noticed = 500 * time.Millisecond
	allowed = 2
	// quiet, cutFor and after are the parts of the run.
	quiet  = 6 * time.Second
	cutFor = 20 * time.Second
	after  = 2 * time.Second
	// callDeadline is the clients' deadline and the route's timeout.
	callDeadline = 3 * time.Second
)

// arrival is a request that reached a worker.
type arrival struct {
	id      string
	machine netip.Addr
	at      time.Time
	// turnedAway tells that it was answered 503 with Retry-After, at answered.
	turnedAway bool
	answered   time.Time
}

// plainWorker is a worker of a plain service. It works on plainSlots requests at once, queues
// plainQueue more, and turns others away with Retry-After.
type plainWorker struct {
	id     string
	links  *linkcut.Listener
	server *http.Server
	record *record
	places atomic.Int64
	slots  chan struct{}

	mu       sync.Mutex
	arrivals []arrival
}

func startPlain(id string, record *record) (*plainWorker, error) {
	listener, err := linkcut.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{id: id, links: listener, record: record, slots: make(chan struct{}, plainSlots)}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *plainWorker) entry(service, zone string) map[string]any {
	return map[string]any{
		"Service": service, "Address": w.links.Addr().String(), "Zone": zone, "Version": "v1",
		"Slots": plainSlots, "State": "ready", "ColdRemainingMs": 0, "Seq": 1,
	}
}

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	header := writer.Header()
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Instance-Id", w.id)
	if id == "" {
		return // a question of the system's own
	}
	header.Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	came := arrival{id: id, machine: remoteIP(request), at: time.Now()}
	places := w.places.Add(1)
	defer w.places.Add(-1)
	if places > plainSlots+plainQueue {
		came.turnedAway, came.answered = true, time.Now()
		w.add(came)
		w.record.add(came.at, "%s: %s from %s turned away, 503 with Retry-After %d", w.id, id, came.machine, retryAfter)
		header.Set("X-Not-Executed", "1")
		header.Set("Retry-After", fmt.Sprint(retryAfter))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.add(came)
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.record.add(time.Now(), "%s: %s from %s runs", w.id, id, came.machine)
	time.Sleep(plainWork/2 + rand.N(plainWork))
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(places, plainSlots), max(places-plainSlots, 0), plainSlots))
	sum := sha256.Sum256([]byte(w.id + id))
	header.Set("X-Response-Signature", hex.EncodeToString(sum[:8]))
	_, _ = io.WriteString(writer, "answer to "+id)
}

func (w *plainWorker) add(came arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, came)
}

// pauses runs the case.
func pauses(record *record, trouble bool) (int, error) {
	s, err := newSite(record)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	var workers []*plainWorker
	for number, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		w, err := startPlain(fmt.Sprintf("i-%d", number+1), record)
		if err != nil {
			return couldNot, err
		}
		defer func() { _ = w.server.Close() }()
		workers = append(workers, w)
		s.store.Put("servers", w.id, w.entry("match-api", zone))
	}
	s.store.Put("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "turn-submit", "Host": host, "PathPrefix": "/turn/", "Kind": "non_idempotent", "Service": "match-api",
			"TimeoutMs": callDeadline.Milliseconds(), "TargetLatencyMs": 300, "Priority": 2, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "match-api", "MaxConnections": 96}},
		"Limits":   map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30_000},
	})
	for number, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		if _, err := s.addMachine(number+1, zone, nodeOptions{}); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	cutOff := s.machines[0]
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	asked := &askedNodes{of: make(map[string]string)}
	for number, m := range s.machines {
		clients.Go(func() { openLoop(ctx, s, m, number, asked) })
	}
	time.Sleep(quiet)
	begun := time.Now()
	if trouble {
		record.say("%s is partitioned from all workers for %v", cutOff.name, cutFor)
		for _, w := range workers {
			w.links.Cut(linkcut.Hang, cutOff.ip)
		}
	}
	time.Sleep(cutFor)
	for _, w := range workers {
		w.links.Restore(cutOff.ip)
	}
	record.say("the partition is over")
	time.Sleep(after)
	stop()
	clients.Wait()
	excused := netip.Addr{}
	if trouble {
		excused = cutOff.ip
	}
	return judgePauses(s, workers, begun, excused, asked), nil
}

// askedNodes tells which machine a client sent a request to.
type askedNodes struct {
	mu sync.Mutex
	of map[string]string
	// statuses counts answers by machine and status.
	statuses map[string]int
}

func (a *askedNodes) sent(id, machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of[id] = machine
}

func (a *askedNodes) ended(machine string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.statuses == nil {
		a.statuses = make(map[string]int)
	}
	a.statuses[fmt.Sprintf("%s %d", machine, status)]++
}

// requestsPerSecond is the mean rate of the clients of each machine.
const requestsPerSecond = 70

// openLoop sends requests to a machine at random times, each on one of some kept connections.
func openLoop(ctx context.Context, s *site, m *machine, number int, asked *askedNodes) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var under sync.WaitGroup
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		id := fmt.Sprintf("%04x%012x", number+1, count)
		under.Go(func() {
			asked.sent(id, m.name)
			s.record.add(time.Now(), "client: %s sent to %s", id, m.name)
			status, note := sendOne(transport, m, "/turn/", id)
			asked.ended(m.name, status)
			s.record.add(time.Now(), "client: %s at %s answered %d%s", id, m.name, status, note)
		})
	}
	under.Wait()
}

func sendOne(transport *http.Transport, m *machine, path, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callers+path+id, strings.NewReader("move"))
	if err != nil {
		return 0, err.Error()
	}
	request.GetBody, request.Host = nil, host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, " " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	note := ""
	if after := response.Header.Get("Retry-After"); after != "" {
		note = ", Retry-After " + after
	}
	return response.StatusCode, note
}

// judgePauses counts, for each 503 with Retry-After, the requests that reached the worker from the
// same machine between half a second after it and the end of its time. A machine that was cut off is
// excused.
func judgePauses(s *site, workers []*plainWorker, begun time.Time, excused netip.Addr, asked *askedNodes) int {
	code, pausesSeen := held, 0
	worst := 0
	for _, w := range workers {
		w.mu.Lock()
		arrivals := slices.Clone(w.arrivals)
		w.mu.Unlock()
		total := make(map[string]int)
		for _, refused := range arrivals {
			if !refused.turnedAway || refused.machine == excused || refused.at.Before(begun) {
				continue
			}
			pausesSeen++
			by := make(map[string]int)
			count := 0
			end := refused.answered.Add(retryAfter * time.Second)
			for _, other := range arrivals {
				if other.machine == refused.machine && other.at.After(refused.answered.Add(noticed)) && other.at.Before(end) {
					count++
					by[asked.of[other.id]]++
				}
			}
			total["pauses"]++
			if count > allowed {
				code = broken
				if count > worst {
					worst = count
					s.record.say("%s answered %s (for a client of %s) at machine %s 503 with Retry-After %d at %.3f s; then %d requests reached it from that machine between 0.5 and %d s later, %d are allowed; clients had sent them to %v",
						w.id, refused.id, asked.of[refused.id], s.nameOf(refused.machine), retryAfter, refused.answered.Sub(s.record.begun).Seconds(), count, retryAfter, allowed, by)
				}
			}
		}
		s.record.say("%s: %d requests, %d answered with Retry-After to machines that weren't cut off", w.id, len(arrivals), total["pauses"])
	}
	s.record.say("answers: %v", asked.statuses)
	s.record.say("%d pauses judged, most requests within one: %d; rule BUDGET (Retry-After) %s", pausesSeen, worst, map[int]string{held: "held", broken: "broken"}[code])
	return code
}
