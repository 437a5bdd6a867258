package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The case: some engines send one answer more than expected, late, in the spot where the next
// answer is due. Two kinds of streams share them: one that may be resumed and one that may not.
const (
	// extraShare of the answers of extraEngines of all engines are followed by an extra one: the
	// largest dose of garble with extra in the site file.
	extraShare   = 0.03
	extrasLength = 95 * time.Second
	// streamRate is the mean rate of requests at each machine.
	streamRate = 18
	// stayShare is the share of the short streams, which may not be resumed.
	stayShare     = 0.5
	stayPrefix    = "/stay/"
	amenityPrefix = "/amenity/"
	// overlap is how long after a request began at another engine the earlier one may still work on it.
	overlap = 400 * time.Millisecond
	// decodeEngines and garbled are the numbers of engines that run requests, and of those that send
	// extra answers.
	decodeEngines, garbled = 11, 7
)

// seen counts what clients saw.
type seen struct {
	mu                  sync.Mutex
	whole, failed, late int
	wrong               []string
}

func extras(record *record, trouble bool) (int, error) {
	s, err := newSite(record)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	kept := &handles{kept: make(map[string]bool)}
	var engines []*engine
	zones := []string{"superior-hall", "huron-hall", "erie-hall"}
	for number := range decodeEngines + 1 {
		stage, share := "decode", 0.0
		switch {
		case number == 0:
			stage = "prefill"
		case trouble && number <= garbled:
			share = extraShare // 7 of 12 engines: a share of less than 0.6
		}
		e, err := startEngine(fmt.Sprintf("i-%08x", number+1), zones[number%3], stage, record, kept, share)
		if err != nil {
			return couldNot, err
		}
		defer func() { _ = e.listener.Close() }()
		engines = append(engines, e)
		s.store.Put("servers", e.id, e.entry("booking-llm"))
	}
	route := func(name, prefix string, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "streaming", "Service": "booking-llm", "Resumable": resumable, "Sticky": true,
			"TimeoutMs": 15_000, "TargetLatencyMs": 250, "Priority": 1, "MaxAttempts": 2, "TargetGapMs": 150,
		}
	}
	s.store.Put("op", "config", map[string]any{
		"Version": 1,
		"Routes":  []any{route("stay-approval", stayPrefix, false), route("amenity-question", amenityPrefix, true)},
		"Services": []any{map[string]any{"Name": "booking-llm", "MaxConnections": 300, "HealthPath": "/health", "Engine": map[string]any{
			"Slots": engineSlots, "KvCapacityTokens": 305_000, "KvTokenBytes": 131_072, "LinkMbps": 8_800_000.0, "KvHoldS": 5.0, "RoleSwitchS": 3.0,
			"Models": []any{map[string]any{"Name": "m"}},
		}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
	})
	for number := range 8 {
		if _, err := s.addMachine(number+1, zones[number%3], nodeOptions{}); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), extrasLength)
	defer stop()
	got := &seen{}
	var clients sync.WaitGroup
	for number, m := range s.machines {
		clients.Go(func() { streams(ctx, s, m, number, got) })
	}
	clients.Wait()
	sent := 0
	var runs []workedOn
	for _, e := range engines {
		e.mu.Lock()
		sent += e.extra
		for _, run := range e.runs {
			runs = append(runs, workedOn{run, e.id})
		}
		e.mu.Unlock()
	}
	record.say("%d answers were whole and right, %d requests failed, %d were wrong; %d extra answers; %d runs", got.whole, got.failed, len(got.wrong), sent, len(runs))
	for _, wrong := range got.wrong[:min(len(got.wrong), 5)] {
		record.say("%s", wrong)
	}
	return judgeTwice(s, runs), nil
}

// workedOn is a run with its engine.
type workedOn struct {
	engineRun
	engine string
}

// judgeTwice counts the requests that went on at another engine while, overlap later, the earlier one
// still worked on them.
func judgeTwice(s *site, runs []workedOn) int {
	byID := make(map[string][]workedOn)
	for _, run := range runs {
		byID[run.id] = append(byID[run.id], run)
	}
	again, twice := 0, 0
	for _, each := range byID {
		slices.SortFunc(each, func(a, b workedOn) int { return a.from.Compare(b.from) })
		for at, earlier := range each[:len(each)-1] {
			again++
			later := each[at+1]
			if still := earlier.to.Sub(later.from); earlier.engine != later.engine && still > overlap {
				twice++
				s.record.say("%s of %s: %s worked on it from %.3f s to %.3f s (whole %v), though it went on at %s at %.3f s: %d ms together",
					earlier.id, s.nameOf(earlier.machine), earlier.engine, earlier.from.Sub(s.record.begun).Seconds(), earlier.to.Sub(s.record.begun).Seconds(), earlier.whole,
					later.engine, later.from.Sub(s.record.begun).Seconds(), still.Milliseconds())
			}
		}
	}
	verdict, code := "held", held
	if twice > 0 {
		verdict, code = "broken", broken
	}
	s.record.say("%d requests were run again, %d of them while an earlier engine still worked on them %v later; rule TWICE %s", again, twice, overlap, verdict)
	return code
}

// streams sends requests for streams to a machine at random times.
func streams(ctx context.Context, s *site, m *machine, number int, got *seen) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var under sync.WaitGroup
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / streamRate))
		id := fmt.Sprintf("%04x%012x", number+1, count)
		path := amenityPrefix
		if rand.Float64() < stayShare {
			path = stayPrefix
		}
		under.Go(func() { sendStream(s, transport, m, path, id, got) })
	}
	under.Wait()
}

func sendStream(s *site, transport *http.Transport, m *machine, path, id string, got *seen) {
	ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callers+path+id, strings.NewReader("{}"))
	if err != nil {
		return
	}
	request.GetBody, request.Host = nil, host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "15000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "220,89")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:79,%s:141", 0xa0+rand.IntN(5), id))
	s.record.add(time.Now(), "client: %s sent to %s, %s", id, m.name, path)
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.fail(s, id, m, err.Error())
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	signature := response.Header.Get("X-Response-Signature")
	switch {
	case response.StatusCode/100 != 2 || err != nil:
		got.fail(s, id, m, fmt.Sprintf("%d %v", response.StatusCode, err))
	case signature == "" || string(content) != streamBody(id, eventsOf(path), 0):
		s.record.add(time.Now(), "client: %s at %s answered %d, signature %q, complete body %q", id, m.name, response.StatusCode, signature, content)
		got.mu.Lock()
		got.wrong = append(got.wrong, fmt.Sprintf("%s %s at %s: answered %d without an error, signature %q, Content-Type %q, body %q",
			path, id, m.name, response.StatusCode, signature, response.Header.Get("Content-Type"), content))
		got.mu.Unlock()
	default:
		s.record.add(time.Now(), "client: %s at %s answered %d, whole", id, m.name, response.StatusCode)
		got.mu.Lock()
		got.whole++
		got.mu.Unlock()
	}
}

func (g *seen) fail(s *site, id string, m *machine, note string) {
	s.record.add(time.Now(), "client: %s at %s failed: %s", id, m.name, note)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed++
}
