package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case: ten small services of one worker each. Workers that are full turn requests away with 503
// and Retry-After, and six of them send one answer more than expected, late, in the spot where the
// next answer is due.
const (
	deskMachines, deskCount, deskGarbled = 12, 10, 6
	deskSlots                            = 3
	deskQueue                            = 1
	deskWork                             = 100 * time.Millisecond
	// deskPause is what a full worker adds to its 503, in seconds.
	deskPause = "1"
	// deskRate is the mean rate of requests to each service at each machine.
	deskRate   = 2.5
	deskLength = 95 * time.Second
	deskKeep   = 5 * time.Second
)

// desk is a worker of a plain service. It speaks HTTP over its connections itself.
type desk struct {
	id       string
	listener net.Listener
	record   *record
	share    float64
	places   atomic.Int64
	slots    chan struct{}
	extra    atomic.Int64

	mu   sync.Mutex
	runs map[string][]time.Time
}

func startDesk(id string, record *record, share float64) (*desk, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{id: id, listener: listener, record: record, share: share, slots: make(chan struct{}, deskSlots), runs: make(map[string][]time.Time)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// serve answers the requests of one connection, one after the other.
func (d *desk) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := bufio.NewReader(c)
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(deskKeep))
		request, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if late != nil {
			d.record.add(time.Now(), "%s: an extra answer comes late, where the one to %s is due", d.id, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		given := d.handle(request, id).bytes(false)
		if _, err := c.Write(given); err != nil {
			return
		}
		if id != "" && rand.Float64() < d.share {
			late = slices.Clone(given)
			d.extra.Add(1)
		}
	}
}

func (d *desk) handle(request *http.Request, id string) answer {
	header := http.Header{"X-Instance-Id": {d.id}, "Keep-Alive": {"timeout=" + strconv.Itoa(int(deskKeep.Seconds()))}}
	if id == "" {
		return answer{http.StatusOK, header, ""}
	}
	header.Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != d.id {
		return answer{http.StatusMisdirectedRequest, header, ""}
	}
	places := d.places.Add(1)
	defer d.places.Add(-1)
	if places > deskSlots+deskQueue {
		d.record.add(time.Now(), "%s: %s turned away, 503 with Retry-After %s", d.id, id, deskPause)
		header.Set("X-Not-Executed", "1")
		header.Set("Retry-After", deskPause)
		return answer{http.StatusServiceUnavailable, header, ""}
	}
	d.slots <- struct{}{}
	defer func() { <-d.slots }()
	now := time.Now()
	d.record.add(now, "%s: %s runs", d.id, id)
	d.mu.Lock()
	d.runs[id] = append(d.runs[id], now)
	d.mu.Unlock()
	time.Sleep(deskWork/2 + rand.N(deskWork))
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(places, deskSlots), max(places-deskSlots, 0), deskSlots))
	sum := sha256.Sum256([]byte(d.id + id))
	header.Set("X-Response-Signature", hex.EncodeToString(sum[:8]))
	return answer{http.StatusOK, header, "answer to " + id}
}

// ending is how a request ended for its client.
type ending struct {
	id, machine, note string
	status            int
	at                time.Time
}

func refusals(record *record, trouble bool) (int, error) {
	s, err := newSite(record)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var desks []*desk
	var routes, services []any
	for number := range deskCount {
		share := 0.0
		if trouble && number < deskGarbled {
			share = extraShare
		}
		d, err := startDesk(fmt.Sprintf("i-%d", number+1), record, share)
		if err != nil {
			return couldNot, err
		}
		defer func() { _ = d.listener.Close() }()
		desks = append(desks, d)
		service := fmt.Sprintf("app-%d", number+1)
		s.store.Put("servers", d.id, map[string]any{
			"Service": service, "Address": d.listener.Addr().String(), "Zone": zones[number%len(zones)], "Version": "v1",
			"Slots": deskSlots, "State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
		})
		routes = append(routes, map[string]any{
			"Name": "submit-" + service, "Host": host, "PathPrefix": "/" + service + "/", "Kind": "non_idempotent", "Service": service,
			"TimeoutMs": callDeadline.Milliseconds(), "TargetLatencyMs": 300, "Priority": 2, "MaxAttempts": 2,
		})
		services = append(services, map[string]any{"Name": service, "MaxConnections": 96})
	}
	s.store.Put("op", "config", map[string]any{
		"Version": 1, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30_000},
	})
	for number := range deskMachines {
		if _, err := s.addMachine(number+1, zones[number%len(zones)], nodeOptions{}); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), deskLength)
	defer stop()
	var mu sync.Mutex
	var endings []ending
	var clients sync.WaitGroup
	for number, m := range s.machines {
		clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
			defer transport.CloseIdleConnections()
			var under sync.WaitGroup
			for count := 0; ctx.Err() == nil; count++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / (deskRate * deskCount)))
				path := fmt.Sprintf("/app-%d/", 1+rand.IntN(deskCount))
				id := fmt.Sprintf("%04x%012x", number+1, count)
				under.Go(func() {
					s.record.add(time.Now(), "client: %s sent to %s, %s", id, m.name, path)
					status, note := sendOne(transport, m, path, id)
					got := ending{id: id, machine: m.name, status: status, note: note, at: time.Now()}
					s.record.add(got.at, "client: %s at %s answered %d%s", id, m.name, status, note)
					mu.Lock()
					defer mu.Unlock()
					endings = append(endings, got)
				})
			}
			under.Wait()
		})
	}
	clients.Wait()
	return judgeRefused(s, desks, endings), nil
}

// promises are the statuses that promise that a request has not run and won't.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// judgeRefused counts the requests that ran although their clients were promised that they hadn't, and
// those that ran twice.
func judgeRefused(s *site, desks []*desk, endings []ending) int {
	statuses := make(map[int]int)
	var extra int64
	for _, d := range desks {
		extra += d.extra.Load()
	}
	refused, twice := 0, 0
	for _, got := range endings {
		statuses[got.status]++
		var ran []string
		for _, d := range desks {
			for _, at := range d.runs[got.id] {
				ran = append(ran, fmt.Sprintf("%s at %.3f s", d.id, at.Sub(s.record.begun).Seconds()))
			}
		}
		if len(ran) > 1 {
			twice++
			s.record.say("%s ran twice: %s", got.id, strings.Join(ran, ", "))
		}
		if slices.Contains(promises, got.status) && len(ran) > 0 {
			refused++
			s.record.say("%s at %s: the client got %d%s at %.3f s, but it ran: %s", got.id, got.machine, got.status, got.note, got.at.Sub(s.record.begun).Seconds(), strings.Join(ran, ", "))
		}
	}
	s.record.say("answers: %v; %d extra answers", statuses, extra)
	verdicts, code := map[bool]string{false: "held", true: "broken"}, held
	if refused > 0 || twice > 0 {
		code = broken
	}
	s.record.say("%d requests that must not be repeated were refused though they ran, %d ran twice; rule REFUSED %s, rule TWICE %s", refused, twice, verdicts[refused > 0], verdicts[twice > 0])
	return code
}
