package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// burst is what a node that has just started lets a tenant use: a fourth of the slack.
const (
	slack = 160
	burst = slack / 4
	// credit is how many more requests a tenant gets because the last ones may come slightly
	// too early.
	credit = slack / 8
)

// withQuota returns the operator's configuration with a quota for one tenant. Most tests use a
// rate so low that hardly any of it refills during a test.
func withQuota(version int, limit map[string]any) map[string]any {
	config := withTenants(version, portoKey, spareKey)
	tenants := config["Tenants"].([]any)
	for name, value := range limit {
		tenants[0].(map[string]any)[name] = value
	}
	return config
}

// startWithQuota starts a site in which the tenant of portoKey has a quota.
func startWithQuota(t *testing.T, limit map[string]any) *site {
	t.Helper()
	s := startWith(t, func(configured *settings.Routed) {
		configured.Quota = settings.RoutedQuota{WindowSeconds: 8, Slack: slack}
	})
	s.store.Put("op", "config", withQuota(2, limit))
	s.await("the tenants' keys are in force", func() bool {
		return s.ask(http.MethodGet, "/board/1", nil, "").status == http.StatusUnauthorized
	})
	return s
}

// askAs sends a request with a tenant's key.
func (s *site) askAs(key, path string) answer {
	s.t.Helper()
	return s.ask(http.MethodPost, path, map[string]string{"X-Api-Key": key}, "x")
}

// served sends requests until one isn't served, and returns how many were served and the last
// answer.
func (s *site) served(key, path string) (count int, last answer) {
	s.t.Helper()
	for count <= slack {
		last = s.askAs(key, path)
		if last.status != http.StatusOK {
			break
		}
		count++
	}
	return count, last
}

var oneInAnHour = map[string]any{"RatePerS": 1.0 / 3600, "Burst": 1000}

// TestTenantOverItsQuotaIsRefused: a tenant over its quota is refused and told when to come
// back, the refusal is logged, and other tenants are still served.
func TestTenantOverItsQuotaIsRefused(t *testing.T) {
	s := startWithQuota(t, oneInAnHour)
	count, last := s.served(portoKey, "/submit/1")
	if count < burst+credit-1 || count > burst+credit+1 {
		t.Errorf("%d requests were served, want %d", count, burst+credit)
	}
	wait, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	if last.status != http.StatusTooManyRequests || err != nil || wait <= 0 || wait > 9 || len(s.runs(last.id)) != 0 {
		t.Errorf("status %d, Retry-After %q, ran %d times", last.status, last.header.Get("Retry-After"), len(s.runs(last.id)))
	}
	if got := s.askAs(bragaKey, "/submit/1"); got.status != http.StatusOK {
		t.Errorf("a tenant without a limit: status %d", got.status)
	}
	s.await("the refusal is logged", func() bool {
		text := s.logText()
		return strings.Contains(text, "over quota") && strings.Contains(text, last.id)
	})
}

// TestRefusalDoesNotWaitForTheBody: a refusal needs only the request's headers.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := startWithQuota(t, oneInAnHour)
	s.served(portoKey, "/submit/1")
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(awaitTimeout))
	_, err = io.WriteString(conn, "POST /submit/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: 7\r\nX-Deadline-Ms: 7000\r\nX-Api-Key: "+portoKey+"\r\nContent-Length: 5000\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	status := make([]byte, len("HTTP/1.1 429"))
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 429" {
		t.Errorf("%q, %v", status, err)
	}
}

// TestDeclaredTokensCount: a stream costs the sum of its two declared token counts; other
// requests cost the configured default.
func TestDeclaredTokensCount(t *testing.T) {
	s := startWithQuota(t, map[string]any{"RatePerS": 0.001, "Burst": 9000, "Unit": "tokens", "PlainTokens": 10})
	if got := s.askAs(portoKey, "/verdict/1"); got.status != http.StatusTooManyRequests {
		t.Errorf("3,020 tokens of %d: status %d", burst, got.status)
	}
	// Each request costs 10.
	if count, _ := s.served(portoKey, "/submit/1"); count < burst/10 || count > (burst+credit)/10+1 {
		t.Errorf("%d requests of 10 tokens were served of %d", count, burst)
	}
}

// TestRequestsThatDidNotRunAreGivenBack: requests that all workers reject, or that are
// malformed, aren't charged.
func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	s := startWithQuota(t, oneInAnHour)
	s.setFaults("portal", fleetworker.Full, -1)
	for i := range burst {
		if got := s.askAs(portoKey, "/submit/1"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("attempt %d at full workers: status %d", i, got.status)
		}
		if got := s.ask(http.MethodPost, "/submit/1", map[string]string{"X-Api-Key": portoKey}, strings.Repeat("x", 10_001)); got.status != http.StatusRequestEntityTooLarge {
			t.Fatalf("a body that is too large: status %d", got.status)
		}
	}
	s.setFaults("portal", fleetworker.NoFault, 0)
	if count, _ := s.served(portoKey, "/submit/1"); count < burst {
		t.Errorf("%d of %d were left", count, burst)
	}
}

// TestSecondRunIsCharged: a request whose first answer was lost may run twice, and both runs
// are charged.
func TestSecondRunIsCharged(t *testing.T) {
	s := startWithQuota(t, oneInAnHour)
	runs, repeats := 0, 0
	for range burst / 4 {
		s.setFaults("portal", fleetworker.CutEarly, 1)
		got := s.askAs(portoKey, "/board/1")
		ran := len(s.runs(got.id))
		runs += ran
		repeats += max(ran-1, 0)
	}
	s.setFaults("portal", fleetworker.NoFault, 0)
	count, _ := s.served(portoKey, "/submit/1")
	if repeats < 4 {
		t.Errorf("only %d of %d runs were repeats", repeats, runs)
	}
	if used := runs + count; used < burst+credit-1 || used > burst+credit+1 {
		t.Errorf("%d runs, %d of them repeats, and %d after that, want %d together", runs, repeats, count, burst+credit)
	}
}

// TestLowerQuotaBinds: a lower quota holds as soon as its configuration is in force.
func TestLowerQuotaBinds(t *testing.T) {
	s := startWithQuota(t, map[string]any{"RatePerS": 1000, "Burst": 1000})
	if got := s.askAs(portoKey, "/submit/1"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	s.store.Put("op", "config", withQuota(3, map[string]any{"RatePerS": 0.001, "Burst": 5}))
	s.await("the lower limit is in force", func() bool { return s.askAs(portoKey, "/submit/1").status == http.StatusTooManyRequests })
	s.store.Put("op", "config", withQuota(4, map[string]any{}))
	s.await("no limit is in force", func() bool { return s.askAs(portoKey, "/submit/1").status == http.StatusOK })
	if text := s.logText(); !strings.Contains(text, fmt.Sprintf("%q:%d", "decided_by_version", 3)) && !strings.Contains(text, "decided_by_version=3") {
		t.Error("the log doesn't have the version that the decision was made by")
	}
}
