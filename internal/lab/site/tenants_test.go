package site

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
)

// API keys of the tests' tenants.
const (
	portoKey = "porto-key"
	bragaKey = "braga-key"
	spareKey = "spare-key"
)

// withTenants returns the operator's configuration with tenants and their keys.
func withTenants(version int, portoKeys ...string) map[string]any {
	config := configuration(version)
	config["Tenants"] = []any{
		map[string]any{"Name": "porto", "ApiKeys": portoKeys},
		map[string]any{"Name": "braga", "ApiKeys": []string{bragaKey}, "Priority": 0},
	}
	for _, route := range config["Routes"].([]any) {
		fields := route.(map[string]any)
		fields["Public"] = fields["Name"] == "once"
		fields["Priority"] = 2
	}
	return config
}

func startWithTenants(t *testing.T) *site {
	t.Helper()
	s := start(t)
	s.store.Put("op", "config", withTenants(2, portoKey, spareKey))
	s.await("the tenants' keys are in force", func() bool {
		return s.ask(http.MethodGet, "/board/1", nil, "").status == http.StatusUnauthorized
	})
	return s
}

// TestWorkersLearnTheTenantAndNeverTheKey: workers are told the tenant that belongs to the key,
// whatever the caller states, and never the key. This includes disaggregated prefill.
func TestWorkersLearnTheTenantAndNeverTheKey(t *testing.T) {
	s := startWithTenants(t)
	for _, path := range []string{"/board/1", "/submit/1", "/verdict/1", "/check/1"} {
		for key, want := range map[string]string{portoKey: "porto", bragaKey: "braga"} {
			header := map[string]string{"X-Api-Key": key, "X-Tenant": "someone else", "X-Lease-Holder": "me", "X-Fencing-Token": "9"}
			got := s.ask(http.MethodPost, path, header, "x")
			if got.status != http.StatusOK {
				t.Fatalf("%s: status %d, %s", path, got.status, got.body)
			}
			for _, run := range s.runs(got.id) {
				if names := run.Header.Values("X-Tenant"); len(names) != 1 || names[0] != want {
					t.Errorf("%s: the worker was told the tenants %q, want %q", path, names, want)
				}
				checkNoKey(t, run.Header)
			}
		}
	}
}

func checkNoKey(t *testing.T, header http.Header) {
	t.Helper()
	for name, values := range header {
		if strings.Contains(strings.Join(values, " "), "-key") || strings.EqualFold(name, "X-Api-Key") ||
			name == "X-Lease-Holder" || name == "X-Fencing-Token" {
			t.Errorf("the worker was told %s: %q", name, values)
		}
	}
}

// TestUnknownKeysAreRefused: a request with a wrong key, no key or two keys isn't run.
func TestUnknownKeysAreRefused(t *testing.T) {
	s := startWithTenants(t)
	for _, key := range []string{"", "porto-keY", " ", portoKey + bragaKey} {
		if got := s.ask(http.MethodPost, "/submit/1", map[string]string{"X-Api-Key": key}, "x"); got.status != http.StatusUnauthorized || len(s.runs(got.id)) != 0 {
			t.Errorf("key %q: status %d, ran %d times", key, got.status, len(s.runs(got.id)))
		}
	}
	status, _ := s.raw(t, "POST /submit/1 HTTP/1.1\r\nX-Api-Key: "+portoKey+"\r\nx-api-key: "+bragaKey+"\r\nContent-Length: 1\r\n\r\nx")
	if status != http.StatusUnauthorized {
		t.Errorf("two keys: status %d", status)
	}
}

// TestPublicRoutesNeedNoKey: a public route needs no key, but refuses an unknown one.
func TestPublicRoutesNeedNoKey(t *testing.T) {
	s := startWithTenants(t)
	for key, want := range map[string]int{"": http.StatusOK, portoKey: http.StatusOK, "wrong": http.StatusUnauthorized} {
		header := map[string]string{}
		if key != "" {
			header["X-Api-Key"] = key
		}
		if got := s.ask(http.MethodPost, "/once/1", header, "x"); got.status != want {
			t.Errorf("key %q on a public route: status %d, want %d", key, got.status, want)
		}
	}
}

// TestKeyIsHiddenInEachSpelling: the key isn't forwarded if its header is spelled in another
// case, sent as a trailer, or named in the Connection header.
func TestKeyIsHiddenInEachSpelling(t *testing.T) {
	s := startWithTenants(t)
	requests := []string{
		"POST /submit/1 HTTP/1.1\r\nx-aPI-keY: " + portoKey + "\r\nX-tenant: braga\r\nx-TENANT: braga\r\nContent-Length: 1\r\n\r\nx",
		"POST /submit/1 HTTP/1.1\r\nX-Api-Key: " + portoKey + "\r\nConnection: X-Api-Key, X-Tenant\r\nContent-Length: 1\r\n\r\nx",
		"POST /submit/1 HTTP/1.1\r\nX-Api-Key: " + portoKey + "\r\nTrailer: X-Api-Key, X-Tenant\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"1\r\nx\r\n0\r\nX-Api-Key: " + bragaKey + "\r\nX-Tenant: braga\r\n\r\n",
	}
	for _, request := range requests {
		status, id := s.raw(t, request)
		if status != http.StatusOK {
			t.Errorf("status %d to %q", status, request)
		}
		for _, run := range s.runs(id) {
			if names := run.Header.Values("X-Tenant"); len(names) != 1 || names[0] != "porto" {
				t.Errorf("the worker was told the tenants %q by %q", names, request)
			}
			checkNoKey(t, run.Header)
		}
	}
}

// raw sends a request as it is, with host, id and deadline added, and returns the status of its
// answer and its id.
func (s *site) raw(t *testing.T, request string) (status int, id string) {
	t.Helper()
	id = s.nextID()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	first, rest, _ := strings.Cut(request, "\r\n")
	added := "\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 7000\r\n"
	if _, err := conn.Write([]byte(first + added + rest)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, id
}

// TestKeyThatIsTakenAwayEnds: a removed key is refused even on a connection that has used it,
// and can be added again.
func TestKeyThatIsTakenAwayEnds(t *testing.T) {
	s := startWithTenants(t)
	client := &http.Client{Transport: &http.Transport{}}
	ask := func() int {
		request, err := http.NewRequest(http.MethodGet, "http://"+s.address+"/board/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("X-Request-Id", s.nextID())
		request.Header.Set("X-Api-Key", spareKey)
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if status := ask(); status != http.StatusOK {
		t.Fatalf("status %d with the key", status)
	}
	s.store.Put("op", "config", withTenants(3, portoKey))
	s.await("the key is refused", func() bool { return ask() == http.StatusUnauthorized })
	s.store.Put("op", "config", withTenants(4, portoKey, spareKey))
	s.await("the key is accepted again", func() bool { return ask() == http.StatusOK })
}

// TestOldConfigurationRefusesForGoodNothing: a node that can't reach the store doesn't know
// whether a newer configuration has a key or route, so it answers 503 for unknown ones.
func TestOldConfigurationRefusesForGoodNothing(t *testing.T) {
	s := startWithTenants(t)
	s.store.SetFaults(fleetstore.Faults{Down: true})
	header := map[string]string{"X-Api-Key": "a key of a newer version"}
	s.await("an unknown key is refused for now", func() bool {
		return s.ask(http.MethodGet, "/board/1", header, "").status == http.StatusServiceUnavailable
	})
	got := s.ask(http.MethodGet, "/a/newer/route/", map[string]string{"X-Api-Key": portoKey}, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("an unknown route: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if got := s.ask(http.MethodGet, "/board/1", map[string]string{"X-Api-Key": portoKey}, ""); got.status != http.StatusOK {
		t.Errorf("a known key: status %d", got.status)
	}
	s.store.SetFaults(fleetstore.Faults{})
	s.await("an unknown key is refused for good", func() bool {
		return s.ask(http.MethodGet, "/board/1", header, "").status == http.StatusUnauthorized
	})
}

// TestTenantsPriorityGoesToTheWorker: a tenant's priority takes precedence over the route's.
func TestTenantsPriorityGoesToTheWorker(t *testing.T) {
	s := startWithTenants(t)
	for key, want := range map[string]string{portoKey: "2", bragaKey: "0"} {
		got := s.ask(http.MethodPost, "/submit/1", map[string]string{"X-Api-Key": key}, "x")
		for _, run := range s.runs(got.id) {
			if rank := run.Header.Get("X-Request-Priority"); rank != want {
				t.Errorf("a request of the key %q has priority %q, want %q", key, rank, want)
			}
		}
	}
}

// TestKeysStayOutOfTheLog: neither valid nor wrong keys are logged.
func TestKeysStayOutOfTheLog(t *testing.T) {
	s := startWithTenants(t)
	s.ask(http.MethodGet, "/board/1", map[string]string{"X-Api-Key": portoKey}, "")
	s.ask(http.MethodGet, "/board/1", map[string]string{"X-Api-Key": "a-wrong-key"}, "")
	s.ask(http.MethodGet, "/nowhere/1", map[string]string{"X-Api-Key": "a-wrong-key"}, "")
	time.Sleep(logLag)
	text := s.logText()
	if !strings.Contains(text, "porto") {
		t.Errorf("no log line names the tenant")
	}
	for _, key := range []string{portoKey, "a-wrong-key"} {
		if strings.Contains(text, key) {
			t.Errorf("the log holds the key %q", key)
		}
	}
}

// logLag is longer than a line takes to reach the log.
const logLag = 50 * time.Millisecond
