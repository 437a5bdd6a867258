package site

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/settings"
)

// connectionLimits returns a configuration with limits on the connections of callers.
func connectionLimits(version int, headerMillis, idleMillis float64) map[string]any {
	configured := configuration(version)
	configured["Limits"] = map[string]any{"MaxHeaderBytes": 4096, "MaxBodyBytes": 10000, "HeaderTimeoutMs": headerMillis, "IdleTimeoutMs": idleMillis}
	return configured
}

// TestConnectionLimitsOfTheConfigurationHoldForOpenConnections: the configuration says how long a head may
// take and a connection may have no request, and a newer one holds for connections that are open already.
func TestConnectionLimitsOfTheConfigurationHoldForOpenConnections(t *testing.T) {
	t.Parallel()
	s := startWith(t, func(configured *settings.Routed) {
		configured.Clients.HeaderMillis, configured.Clients.IdleMillis = 3_600_000, 3_600_000
	})
	open := func(sent string) net.Conn {
		c, err := net.Dial("tcp4", s.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, sent); err != nil {
			t.Fatal(err)
		}
		return c
	}
	resting, halfway := open(""), open("GET /board/1 HTTP/1.1\r\nHost:")
	closed := func(c net.Conn, within time.Duration) bool {
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err := c.Read(make([]byte, 1))
		timeout, isNet := err.(net.Error)
		return err != nil && (!isNet || !timeout.Timeout())
	}
	if closed(resting, 300*time.Millisecond) || closed(halfway, 300*time.Millisecond) {
		t.Fatal("a connection is closed although nothing limits its time")
	}
	s.store.Put("op", "config", connectionLimits(2, 200, 200))
	if !closed(resting, awaitTimeout) {
		t.Error("a connection without a request stays open")
	}
	if !closed(halfway, awaitTimeout) {
		t.Error("a connection whose head doesn't end stays open")
	}
}
