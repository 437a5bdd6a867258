package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/httpguard"
)

// TestCallersThatHoldMuchLeaveRoomForOthers guards against callers who fill the memory of a gateway with
// heads of many fields and with bodies that never end: it answers others, and holds no more than its budget.
func TestCallersThatHoldMuchLeaveRoomForOthers(t *testing.T) {
	const memory = 4 << 20
	configured := DefaultSettings()
	configured.ClientMemory, configured.ClientConnections = memory, 100
	registry := prometheus.NewRegistry()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(configured, Dependencies{Log: log, Metrics: NewMetrics(registry), Ready: func() error { return nil }, MetricsPage: http.NotFoundHandler()})
	httpguard.Register(registry, server.Guard())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(listener)
	t.Cleanup(server.Close)
	var fields strings.Builder
	for number := range 3000 {
		fmt.Fprintf(&fields, "a%d:\r\n", number)
	}
	for range 200 {
		c, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n"+fields.String()+"\r\n{")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	for number := range 20 {
		answer, err := client.Get("http://" + listener.Addr().String() + "/readyz")
		if err != nil {
			t.Fatalf("question %d: %v", number, err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Errorf("question %d: status %d", number, answer.StatusCode)
		}
		if held := heldBy(t, registry); held > memory {
			t.Errorf("callers hold %.0f bytes; %d are allowed", held, memory)
		}
	}
}

func heldBy(t *testing.T, registry *prometheus.Registry) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "tinarch_client_memory_bytes" {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatal("no metric tells what callers hold")
	return 0
}
