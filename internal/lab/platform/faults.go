// Package platform holds fakes of the services that operators provide: a table with the
// DynamoDB JSON API, an object store with the S3 API, and a machine list. They implement the
// part of each protocol that the standard clients use, and inject faults: unavailable, slow,
// throttled, or with the answer to a write lost after it was applied.
package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/result"
)

// Faults are the faults that a fake injects.
type Faults struct {
	// Down breaks off every request without an answer.
	Down bool
	// Delay is added to each request.
	Delay time.Duration
	// RequestsPerSecond is the rate above which requests are throttled; zero means no limit.
	RequestsPerSecond float64
	// LoseAnswers is the number of writes that are applied and then broken off without an
	// answer.
	LoseAnswers int
}

// faultState holds the current faults and injects them into requests.
type faultState struct {
	mu       sync.Mutex
	faults   Faults
	limiter  *rate.Limiter
	requests int
}

// SetFaults replaces the current faults.
func (s *faultState) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limiter = nil
	if faults.RequestsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.RequestsPerSecond), max(1, int(faults.RequestsPerSecond)))
	}
}

// Requests returns the number of requests received so far.
func (s *faultState) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// beforeRequest is called before a request is handled. It counts the request, breaks it off or
// delays it, and reports whether it is throttled.
func (s *faultState) beforeRequest() (throttled bool) {
	s.mu.Lock()
	s.requests++
	faults, limiter := s.faults, s.limiter
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	return limiter != nil && !limiter.Allow()
}

// afterWrite is called after a write was applied, and breaks it off if its answer is to be lost.
func (s *faultState) afterWrite() {
	s.mu.Lock()
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// service is the HTTP server of a fake.
type service struct {
	address string
	server  *http.Server
	done    chan struct{}
}

func startService(address string, handler http.Handler) (*service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "can't listen on %s", address)
	}
	s := &service{
		address: listener.Addr().String(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// URL returns the base URL of the fake.
func (s *service) URL() string { return "http://" + s.address }

// Close stops the fake.
func (s *service) Close() {
	_ = s.server.Close()
	<-s.done
}

// Listen opens a free port on the loopback interface.
func Listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "no free port")
	}
	return listener, nil
}

// FreeAddresses returns loopback addresses with ports that were free during the call. Another
// process may take one before the caller listens on it.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := Listen()
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
