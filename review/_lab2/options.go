package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// optionsCase lets a client send a request whose path has no route and isn't one of the door's own: the
// asterisk of HTTP/1.1. Without trouble the same method comes at ordinary paths.
func optionsCase(s *site) ([]string, error) {
	s.configure(map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "hold", "Host": "desk.example", "PathPrefix": "/hold/", "Kind": "non_idempotent", "Service": "desk",
			"TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "desk", "MaxConnections": 110, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	for number := range 3 {
		if _, err := s.addWorker(workerOptions{
			id: fmt.Sprintf("w%d", number+1), service: "desk", zone: string(rune('a' + number)), slots: 6, queue: 6,
			work: func() time.Duration { return 15 * time.Millisecond },
		}); err != nil {
			return nil, err
		}
	}
	for number := range 3 {
		if err := s.addNode(number + 1); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	targets := []string{"/hold/1", "/nowhere/1"}
	if s.trouble {
		targets = append(targets, "*")
	}
	var violations []string
	for _, n := range s.nodes {
		for _, target := range targets {
			status, signature, err := s.options(n, target)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errCannotRun, err)
			}
			if status >= http.StatusOK && status < http.StatusMultipleChoices && signature == "" {
				violations = append(violations, fmt.Sprintf("%s answered OPTIONS %s with %d without the signature of a worker; no worker was asked", n.name, target, status))
			}
		}
	}
	return violations, nil
}

// options sends a request with the method OPTIONS as its bytes are.
func (s *site) options(n *node, target string) (status int, signature string, err error) {
	c, err := net.DialTimeout("tcp4", n.callers, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	id := fmt.Sprintf("%08x%08x", s.begun.UnixNano()&0xffffffff, s.serial.Add(1))
	s.note("client sends %s OPTIONS %s to %s", id, target, n.name)
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", target, id); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	signature = response.Header.Get("X-Response-Signature")
	s.note("client's %s at %s gets %d, signature %q", id, n.name, response.StatusCode, signature)
	return response.StatusCode, signature, nil
}
