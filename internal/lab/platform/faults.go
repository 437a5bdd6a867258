// Package platform holds stand-ins for the users' services: a table that speaks
// the DynamoDB JSON API, an object store that speaks the S3 API, and a machine
// list. They speak enough of each protocol for the stock clients, and fail on
// command: down, slow, throttled, or with answers lost after the write took
// effect.
package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/result"
)

// Faults are the faults of one stand-in.
type Faults struct {
	// Down drops every connection.
	Down bool
	// Delay holds each request back.
	Delay time.Duration
	// RequestsPerSecond throttles; zero means no limit.
	RequestsPerSecond float64
	// LoseAnswers drops the answers of this many writes after they took effect.
	LoseAnswers int
}

// faultState applies faults to requests.
type faultState struct {
	mu       sync.Mutex
	faults   Faults
	limiter  *rate.Limiter
	requests int
}

// SetFaults replaces the faults in force.
func (s *faultState) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limiter = nil
	if faults.RequestsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.RequestsPerSecond), max(1, int(faults.RequestsPerSecond)))
	}
}

// Requests returns the number of requests seen.
func (s *faultState) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// before applies the faults that come before the effect. It reports whether the
// request is throttled.
func (s *faultState) before() (throttled bool) {
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

// after loses the answer of a write where that is asked for.
func (s *faultState) after() {
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

// service is an HTTP server of a stand-in.
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

// URL returns the address of the stand-in.
func (s *service) URL() string { return "http://" + s.address }

// Close stops the stand-in.
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

// FreeAddresses returns addresses on which nothing listens now.
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
