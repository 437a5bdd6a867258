package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLateRequestInAPlannedStopIsRefused guards against a request that becomes whole when a stopping node already
// closes its connections, runs, and is cut off at the end of the time for the stop.
func TestLateRequestInAPlannedStopIsRefused(t *testing.T) {
	c, ctx := start(t, 3, 3)
	node := c.Nodes[1]
	address := node.CallersAddress()
	client, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	body := `{"model":"large","max_completion_tokens":60,"messages":[{"role":"user","content":"late"}]}`
	_, _ = fmt.Fprintf(client, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body[:10])
	stopCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- node.Stop(stopCtx) }()
	if err := c.Await(ctx, "the port is closed", func() bool {
		probe, err := net.Dial("tcp4", address)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, body[10:])
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || c.Counters().Accepted != 0 {
		t.Errorf("%d %s, %v; engines accepted %d attempts", response.StatusCode, content, err, c.Counters().Accepted)
	}
	<-stopped
	c.Nodes = append(c.Nodes[:1], c.Nodes[2:]...)
}
