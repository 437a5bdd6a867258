package fleetapi

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestProblemsAreFound: Violations reports conflicting usage reports, a fencing token that two
// holders use, and holders that alternate; and a stale token is refused.
func TestProblemsAreFound(t *testing.T) {
	report := func(a *API, holder string, fence, window, count int) int {
		body := fmt.Sprintf(`{"Window":%d,"Counts":{"t":%d}}`, window, count)
		request, err := http.NewRequest(http.MethodPost, "http://"+a.Address()+"/usage", bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Lease-Holder", holder)
		request.Header.Set("X-Fencing-Token", fmt.Sprint(fence))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for _, example := range []struct {
		name   string
		calls  [][4]any
		broken bool
	}{
		{"one holder, the same counts twice", [][4]any{{"a", 1, 1, 5}, {"a", 1, 1, 5}}, false},
		{"one window with two counts", [][4]any{{"a", 1, 1, 5}, {"a", 1, 1, 6}}, true},
		{"two holders with one token", [][4]any{{"a", 1, 1, 5}, {"b", 1, 2, 5}}, true},
		{"alternating holders", [][4]any{{"a", 1, 1, 5}, {"b", 2, 2, 5}, {"a", 3, 3, 5}}, true},
	} {
		a := Start()
		for _, call := range example.calls {
			report(a, call[0].(string), call[1].(int), call[2].(int), call[3].(int))
		}
		if violations := a.Violations(time.Minute); (len(violations) > 0) != example.broken {
			t.Errorf("%s: %v", example.name, violations)
		}
		if status := report(a, "old", 0, 9, 1); status != http.StatusConflict {
			t.Errorf("%s: a stale fencing token was answered %d", example.name, status)
		}
		a.Close()
	}
}

// TestUnfencedAPI: the API carries out a call with a stale fencing token and reports it as a
// violation, unless the call came while faults were injected.
func TestUnfencedAPI(t *testing.T) {
	for _, example := range []struct {
		faults Faults
		broken int
	}{{Faults{}, 1}, {Faults{Delay: time.Millisecond}, 0}} {
		a := StartUnfenced()
		for _, fence := range []string{"2", "1"} {
			if fence == "1" {
				a.SetFaults(example.faults)
			}
			request, err := http.NewRequest(http.MethodPost, "http://"+a.Address()+"/usage", bytes.NewBufferString(`{"Window":1,"Counts":{}}`))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Lease-Holder", "holder of "+fence)
			request.Header.Set("X-Fencing-Token", fence)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("fencing token %s: status %d", fence, response.StatusCode)
			}
		}
		if violations := a.Violations(time.Minute); len(violations) != example.broken || len(a.Reports()[1]) != 2 {
			t.Errorf("%+v: %v; %d reports", example.faults, violations, len(a.Reports()[1]))
		}
		a.Close()
	}
}
