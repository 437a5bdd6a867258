package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/tinarch/tinarch/internal/lab/process"
)

const (
	// memoryAllowed is how much memory bytes from outside may make a node need.
	memoryAllowed = 64 << 20
	memoryPause   = 100 * time.Millisecond
)

// unendingAnswers are the ways in which a worker begins to send without end.
var unendingAnswers = []string{
	"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\ndata: ",
}

// sendWithoutEnd lists, for a time, an engine that answers each request with bytes without end.
func (s *site) sendWithoutEnd(ctx context.Context, length time.Duration) string {
	begin := unendingAnswers[s.random.IntN(len(unendingAnswers))]
	id, err := s.listRaw(ctx, length, engines, func(c net.Conn) { sendUnending(c, begin) })
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s sends %q and no end for %v", id, begin, length)
}

func sendUnending(c net.Conn, begin string) {
	block := bytes.Repeat([]byte("x"), 1<<16)
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	_, err := c.Write([]byte(begin))
	for err == nil {
		_, err = c.Write(block)
	}
}

// listRaw lists, for a time, a worker of a service that serves each connection with a function, and returns its id.
func (s *site) listRaw(ctx context.Context, length time.Duration, service string, serve func(net.Conn)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	id := fmt.Sprintf("raw-%d", time.Now().UnixNano())
	entry := map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": "a", "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Seq": 1,
	}
	if service == engines {
		entry["Stage"], entry["Models"] = "decode", []map[string]any{{"Name": "m", "Version": 1}}
	}
	s.store.Put("servers", id, entry)
	go acceptRaw(listener, serve)
	go func() {
		sleep(ctx, length)
		s.store.Put("servers", id, nil)
		_ = listener.Close()
	}()
	return id, nil
}

func acceptRaw(listener net.Listener, serve func(net.Conn)) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(clientTimeout))
			serve(c)
		}()
	}
}

// memory is what is known of the nodes' memory.
type memory struct {
	// least is the least of any node, and most the most of each.
	least int64
	most  map[string]int64
}

// watchMemory samples the memory of the nodes until ctx is done.
func (s *site) watchMemory(ctx context.Context) memory {
	seen := memory{most: make(map[string]int64)}
	for ctx.Err() == nil {
		for _, node := range s.nodes {
			seen.add(node)
		}
		sleep(ctx, memoryPause)
	}
	return seen
}

func (m *memory) add(node *process.Node) {
	bytes := node.Memory()
	if bytes == 0 {
		return
	}
	if m.least == 0 || bytes < m.least {
		m.least = bytes
	}
	m.most[node.Name] = max(m.most[node.Name], bytes)
}

// violations returns the nodes that needed more than memoryAllowed beyond what the smallest one does.
func (m *memory) violations() []string {
	var violations []string
	for name, most := range m.most {
		if most > m.least+memoryAllowed {
			violations = append(violations, fmt.Sprintf("%s needed %d MB of memory, the smallest node %d", name, most>>20, m.least>>20))
		}
	}
	return violations
}
