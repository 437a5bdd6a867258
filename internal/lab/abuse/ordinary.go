package abuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	ordinaryBodyBytes = 1024
	readyInterval     = 400 * time.Millisecond
)

// share counts how many of the requests of a kind were served.
type share struct {
	Served, Sent int
}

func (s share) value() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Sent)
}

// ordinary sends requests within all limits, half of them on kept connections, and asks whether the
// node is ready.
type ordinary struct {
	site    *site
	target  *node
	timeout time.Duration
	kept    *http.Client
	fresh   *http.Client

	mu sync.Mutex
	// served and ready count since the last take.
	served, ready share
	// refused holds the ids of requests whose answer says that they weren't run.
	refused  []string
	failures map[string]int
	next     int
	running  sync.WaitGroup
}

func newOrdinary(s *site, target *node, timeout time.Duration) *ordinary {
	dialer := &net.Dialer{Timeout: timeout}
	return &ordinary{
		site: s, target: target, timeout: timeout, failures: make(map[string]int),
		kept:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: idleTimeout * 4 / 5}, Timeout: timeout},
		fresh: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, Timeout: timeout},
	}
}

// run sends requests at a rate until ctx is done, and waits for their answers.
func (o *ordinary) run(ctx context.Context, rate float64) {
	requests := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer requests.Stop()
	ready := time.NewTicker(readyInterval)
	defer ready.Stop()
	defer o.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests.C:
			o.next++
			number := o.next
			o.running.Go(func() { o.send(number) })
		case <-ready.C:
			o.running.Go(o.askReady)
		}
	}
}

func (o *ordinary) send(number int) {
	id := fmt.Sprintf("ordinary-%d", number)
	client := o.fresh
	if number%2 == 0 {
		client = o.kept
	}
	outcome := o.ask(client, id, http.MethodPost, "/submit/ordinary", bytes.Repeat([]byte("o"), ordinaryBodyBytes), nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.served.Sent++
	switch {
	case outcome == "":
		o.served.Served++
		return
	case strings.HasPrefix(outcome, "status 503"), strings.HasPrefix(outcome, "status 429"):
		o.refused = append(o.refused, id)
	}
	o.failures[outcome]++
}

// ask sends one request. It returns an empty string if it was served, and else what came.
func (o *ordinary) ask(client *http.Client, id, method, path string, content []byte, more http.Header) string {
	request, err := http.NewRequest(method, "http://"+o.target.listen.Callers+path, struct{ io.Reader }{bytes.NewReader(content)})
	if err != nil {
		return err.Error()
	}
	request.ContentLength = int64(len(content))
	request.Host = host
	for name, values := range more {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", id)
	answer, err := client.Do(request)
	if err != nil {
		return causeOf(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return causeOf(err)
	case answer.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d: %.60s", answer.StatusCode, text)
	case string(text) != answerText(id):
		return "another answer"
	}
	return ""
}

// causeOf returns the cause of a failure without addresses.
func causeOf(err error) string {
	text := err.Error()
	for _, cause := range []string{"connection reset", "EOF", "Client.Timeout", "refused", "broken pipe", "i/o timeout"} {
		if strings.Contains(text, cause) {
			return cause
		}
	}
	return text
}

func (o *ordinary) askReady() {
	ok := false
	request, err := http.NewRequest(http.MethodGet, o.target.ReadyURL, nil)
	if err == nil {
		if answer, err := o.fresh.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			ok = answer.StatusCode == http.StatusOK
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ready.Sent++
	if ok {
		o.ready.Served++
	}
}

// take returns what was counted since the last call.
func (o *ordinary) take() (served, ready share, failures map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	served, ready, failures = o.served, o.ready, o.failures
	o.served, o.ready, o.failures = share{}, share{}, make(map[string]int)
	return served, ready, failures
}

// askLargest sends one request of the largest size and one with as many header fields as are allowed.
// It returns what failed.
func (o *ordinary) askLargest() []string {
	var failed []string
	if outcome := o.ask(o.fresh, "largest-body", http.MethodPost, "/submit/large", bytes.Repeat([]byte("l"), maxBodyBytes), nil); outcome != "" {
		failed = append(failed, "one request of the largest size in calm: "+outcome)
	}
	many := make(http.Header)
	for line := range strings.SplitSeq(fields(maxHeaderBytes-200, false), "\r\n") {
		if name, _, found := strings.Cut(line, ":"); found {
			many[name] = []string{""}
		}
	}
	if outcome := o.ask(o.fresh, "most-fields", http.MethodPost, "/submit/fields", []byte("f"), many); outcome != "" {
		failed = append(failed, "one request with the most header fields in calm: "+outcome)
	}
	return failed
}
