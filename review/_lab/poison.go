package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/linkcut"
)

// The case: all machines of a zone are partitioned from all workers, and serve their clients over
// connections of the machine that is left. One of these clients has a request that crashes each
// worker that begins to run it, and sends it again and again.
const (
	poisonBody    = "the move that no worker survives"
	poisonPath    = "/turn/poisoned"
	poisonEvery   = 1500 * time.Millisecond
	poisonFirst   = 2 * time.Second
	backAfter     = 2 * time.Second
	heartbeats    = 3600 * time.Millisecond
	poisonCut     = 28 * time.Second
	contactTime   = 3 * time.Second
	crashesBefore = 3
	retriesAfter  = 3
	soundRate     = 20
)

// crashing is a worker of a plain service that crashes when it begins to run the request. It starts
// again at its address, as another incarnation with another id.
type crashing struct {
	name   string
	site   *site
	run    *poisonRun
	mu     sync.Mutex
	starts int
	links  *linkcut.Listener
	server *http.Server
	cut    []netip.Addr
}

// poisonRun is what the workers have seen.
type poisonRun struct {
	mu sync.Mutex
	// reached are the times at which the request reached a worker, with the machine it came from,
	// and crashes those at which a worker crashed.
	reached []arrival
	crashes []time.Time
	ran     int
}

func (w *crashing) id() string { return fmt.Sprintf("%s-%d", w.name, w.starts) }

// start starts an incarnation at an address, any free one if it is empty.
func (w *crashing) start(address string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	listener, err := linkcut.Listen(address)
	if err != nil {
		return err
	}
	w.starts++
	id := w.id()
	w.links = listener
	w.links.Cut(linkcut.Hang, w.cut...)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { w.serve(id, server, writer, request) })
	w.server = server
	go func() { _ = server.Serve(listener) }()
	w.site.store.Put("servers", id, map[string]any{
		"Service": "match-api", "Address": listener.Addr().String(), "Zone": "hall-b", "Version": "v1",
		"Slots": plainSlots, "State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// setCut partitions machines from the worker, also from its later incarnations.
func (w *crashing) setCut(machines []netip.Addr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links.Restore(w.cut...)
	w.cut = machines
	w.links.Cut(linkcut.Hang, machines...)
}

func (w *crashing) serve(id string, server *http.Server, writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	requestID := request.Header.Get("X-Request-Id")
	header.Set("X-Instance-Id", id)
	if requestID == "" {
		return
	}
	header.Set("X-Request-Id", requestID)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if string(body) == poisonBody {
		w.crash(id, server, arrival{id: requestID, machine: remoteIP(request), at: time.Now()})
		panic(http.ErrAbortHandler)
	}
	time.Sleep(plainWork/2 + rand.N(plainWork))
	w.site.record.add(time.Now(), "%s: %s from %s ran", id, requestID, w.site.nameOf(remoteIP(request)))
	w.run.mu.Lock()
	w.run.ran++
	w.run.mu.Unlock()
	sum := sha256.Sum256([]byte(id + requestID))
	header.Set("X-Response-Signature", hex.EncodeToString(sum[:8]))
	header.Set("X-Server-Load", fmt.Sprintf("1,0,%d", plainSlots))
	_, _ = io.WriteString(writer, "answer to "+requestID)
}

// crash ends an incarnation: nothing listens at its address any more and all its connections are
// closed. The worker is back after backAfter; the old entry goes after three heartbeats.
func (w *crashing) crash(id string, server *http.Server, by arrival) {
	w.run.mu.Lock()
	w.run.reached = append(w.run.reached, by)
	w.run.crashes = append(w.run.crashes, by.at)
	number := len(w.run.crashes)
	w.run.mu.Unlock()
	w.site.record.add(by.at, "%s: %s from %s begins to run and crashes it, crash %d", id, by.id, w.site.nameOf(by.machine), number)
	address := w.links.Addr().String()
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		for w.start(address) != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.AfterFunc(heartbeats, func() { w.site.store.Put("servers", id, nil) })
}

func poisoned(record *record, trouble bool) (int, error) {
	s, err := newSite(record)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	run := &poisonRun{}
	var workers []*crashing
	for number := range 6 {
		w := &crashing{name: fmt.Sprintf("i-%d", number+1), site: s, run: run}
		if err := w.start("127.0.0.1:0"); err != nil {
			return couldNot, err
		}
		defer func() { _ = w.server.Close() }()
		workers = append(workers, w)
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
	for number, zone := range []string{"hall-a", "hall-a", "hall-b"} {
		if _, err := s.addMachine(number+1, zone, nodeOptions{}); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	asked := &askedNodes{of: make(map[string]string)}
	for number, m := range s.machines {
		clients.Go(func() { soundCalls(ctx, s, m, number, asked) })
	}
	time.Sleep(4 * time.Second)
	cutOff := s.machines[:2]
	if trouble {
		record.say("the machines of hall-a, %s and %s, are partitioned from all workers for %v", cutOff[0].name, cutOff[1].name, poisonCut)
		for _, w := range workers {
			w.setCut([]netip.Addr{cutOff[0].ip, cutOff[1].ip})
		}
	}
	begun := time.Now()
	time.Sleep(poisonFirst)
	for count := 0; time.Since(begun) < poisonCut; count++ {
		m := cutOff[rand.IntN(len(cutOff))]
		id := fmt.Sprintf("dead%012x", count)
		record.add(time.Now(), "client of hall-a: %s, which crashes workers, sent to %s", id, m.name)
		status, note := sendBody(m, poisonPath, id, poisonBody)
		record.add(time.Now(), "client of hall-a: %s, which crashes workers, at %s answered %d%s", id, m.name, status, note)
		time.Sleep(poisonEvery)
	}
	for _, w := range workers {
		w.setCut(nil)
	}
	stop()
	clients.Wait()
	return judgePoison(s, run, asked), nil
}

// soundCalls sends sound requests to a machine, each with a body and path of its own.
func soundCalls(ctx context.Context, s *site, m *machine, number int, asked *askedNodes) {
	transport := &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var under sync.WaitGroup
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / soundRate))
		id := fmt.Sprintf("%04x%012x", number+1, count)
		under.Go(func() {
			s.record.add(time.Now(), "client: %s sent to %s", id, m.name)
			status, note := sendOne(transport, m, "/turn/", id)
			asked.ended(m.name, status)
			s.record.add(time.Now(), "client: %s at %s answered %d%s", id, m.name, status, note)
		})
	}
	under.Wait()
}

// sendBody sends one request on a connection of its own.
func sendBody(m *machine, path, id, body string) (int, string) {
	c, err := net.DialTimeout("tcp4", m.callers, time.Second)
	if err != nil {
		return 0, " " + err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callDeadline))
	request, err := http.NewRequest(http.MethodPost, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0, " " + err.Error()
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, " " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, " " + strings.TrimSpace(string(content))
}

// judgePoison counts the retries of the request that reached workers later than contactTime after it
// had crashed the third.
func judgePoison(s *site, run *poisonRun, asked *askedNodes) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	s.record.say("the request reached workers %d times and crashed %d; %d sound requests ran; answers: %v", len(run.reached), len(run.crashes), run.ran, asked.statuses)
	if len(run.crashes) < crashesBefore {
		s.record.say("it crashed fewer than %d workers: rule BUDGET held", crashesBefore)
		return held
	}
	slices.SortFunc(run.crashes, time.Time.Compare)
	from := run.crashes[crashesBefore-1].Add(contactTime)
	late := 0
	for _, reached := range run.reached {
		if reached.at.After(from) {
			late++
		}
	}
	s.record.say("it crashed the third at %.3f s; later than %v after that it reached workers %d times, %d are allowed", run.crashes[crashesBefore-1].Sub(s.record.begun).Seconds(), contactTime, late, retriesAfter)
	if late > retriesAfter {
		s.record.say("rule BUDGET broken")
		return broken
	}
	s.record.say("rule BUDGET held")
	return held
}
