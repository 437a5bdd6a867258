package workerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Bounds for a worker that sends without end: it may get rid of what fits in the kernel's buffers.
const (
	sendAtMost   = 128 << 20
	mayTakeBytes = 16 << 20
	mayTakeTime  = 5 * time.Second
)

// sendForever sends a beginning and then a piece again and again, until the connection is closed or
// sendAtMost bytes were sent, with a pause after each piece. sent counts the bytes.
func sendForever(begin, piece string, pause time.Duration, sent *atomic.Int64) script {
	return func(c net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(c, begin)
		for sent.Load() < sendAtMost {
			count, err := io.WriteString(c, piece)
			sent.Add(int64(count))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	block := strings.Repeat("x", 1<<20)
	for name, play := range map[string]struct {
		begin, piece string
		pause        time.Duration
	}{
		"status line":      {"HTTP/1.1 200 ", block, 0},
		"no HTTP":          {"", block, 0},
		"one header line":  {status + "X-Long: ", block, 0},
		"header lines":     {status, strings.Repeat("X-Header: value\r\n", 1<<14), 0},
		"interim answers":  {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 1<<12), 0},
		"slow header line": {status + "X-Long: ", "x", 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			server := serve(t, sendForever(play.begin, play.piece, play.pause, &sent))
			pool := NewPool()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*mayTakeTime)
			defer cancel()
			begun := time.Now()
			_, err := pool.Do(ctx, "w", server.address(), 0, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err == nil || ctx.Err() != nil {
				t.Errorf("the head without end is taken: %v", err)
			}
			if took := time.Since(begun); took > mayTakeTime || sent.Load() > mayTakeBytes {
				t.Errorf("%d bytes were taken in %v, want %d at most in %v", sent.Load(), took, mayTakeBytes, mayTakeTime)
			}
			if len(pool.open) != 0 {
				t.Errorf("%d connections are left", len(pool.open))
			}
		})
	}
}
