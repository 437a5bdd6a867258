package soak

import (
	"net/http"
	"testing"
	"time"
)

// TestCallersKeptTooLongAreFound: an answer that ends long after the deadline is a violation
// unless the node had a fault.
func TestCallersKeptTooLongAreFound(t *testing.T) {
	sent := time.Unix(1000, 0)
	inFault := func(node string, _ time.Time) bool { return node == "node-2" }
	for _, example := range []struct {
		node  string
		took  time.Duration
		found int
	}{{"node-1", 4400 * time.Millisecond, 0}, {"node-1", 4600 * time.Millisecond, 1}, {"node-2", 4600 * time.Millisecond, 0}} {
		got := []observation{{node: example.node, sent: sent, ended: sent.Add(example.took)}}
		if found := keptTooLong(got, inFault); len(found) != example.found {
			t.Errorf("%s, %v: found %v", example.node, example.took, found)
		}
	}
}

// TestUnderservedTenantIsFound: a tenant that is served under a quarter as often as all are is a
// violation.
func TestUnderservedTenantIsFound(t *testing.T) {
	quiet := time.Unix(1000, 0)
	for _, example := range []struct{ served, found int }{{1, 1}, {3, 0}} {
		var all []observation
		for i := range 40 {
			got := observation{tenant: tenantOf(i % 4 / 3), sent: quiet.Add(quietPeriod), status: http.StatusOK}
			if got.tenant == tenantOf(1) && i/4 >= example.served {
				got.status = http.StatusServiceUnavailable
			}
			all = append(all, got)
		}
		if found := underserved(all, quiet); len(found) != example.found {
			t.Errorf("%d of 10 served: found %v", example.served, found)
		}
	}
}
