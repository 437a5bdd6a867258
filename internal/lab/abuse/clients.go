package abuse

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits that the configuration of a run states. Clients within them are ordinary.
const (
	maxHeaderBytes  = 16_384
	maxBodyBytes    = 4 << 20
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
	longAnswerBytes = 12 << 20
	slowAnswer      = 2 * time.Second
)

// Port is one of the ports of a node.
type Port string

// The ports that clients connect to.
const (
	Callers   Port = "callers"
	Readiness Port = "readiness"
	Metrics   Port = "metrics"
	Exchange  Port = "exchange"
)

// Kind is a way to misbehave.
type Kind struct {
	Name string
	Port Port
	// Connections is how many clients there are, each with one connection at a time.
	Connections int
	// play uses one connection until it is closed or ctx is done.
	play func(ctx context.Context, c net.Conn, ids *requestIDs)
}

// idSlot stands for the id of a request in a head, and is as long.
const idSlot = "@@@@@@@@@@@@@@@@"

// requestIDs numbers the requests of all clients that misbehave, and collects those that were refused as
// not run.
type requestIDs struct {
	last atomic.Uint64

	mu      sync.Mutex
	refused []string
}

// stamp gives each request in a text an id of its own, and returns them in order.
func (r *requestIDs) stamp(text string) (string, []string) {
	var ids []string
	var out strings.Builder
	for {
		before, after, found := strings.Cut(text, idSlot)
		out.WriteString(before)
		if !found {
			return out.String(), ids
		}
		id := fmt.Sprintf("abuse-%010d", r.last.Add(1))
		out.WriteString(id)
		ids, text = append(ids, id), after
	}
}

// readAnswers reads answers to requests with these ids, which come in order.
func (r *requestIDs) readAnswers(c net.Conn, ids <-chan string) {
	reader := bufio.NewReader(c)
	for id := range ids {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		if answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests {
			r.mu.Lock()
			r.refused = append(r.refused, id)
			r.mu.Unlock()
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			break
		}
	}
	_ = c.Close()
	for range ids {
		continue
	}
}

// Paths of requests.
const (
	routedPath  = "/submit/abuse"
	longPath    = "/board/long"
	unknownPath = "/nowhere"
	// slowPath is answered after slowAnswer.
	slowPath = "/submit/slow"
)

// Kinds returns all ways to misbehave.
func Kinds() []Kind {
	legal := fields(maxHeaderBytes-200, false)
	return []Kind{
		{"whole-bodies", Callers, 400, repeat(request("POST", routedPath, lengthOf(maxBodyBytes)), filler(maxBodyBytes, 1<<20, 0))},
		{"held-bodies", Callers, 200, repeat(request("POST", slowPath, lengthOf(maxBodyBytes)), filler(maxBodyBytes, 1<<20, 0))},
		{"slow-bodies", Callers, 60, once(request("POST", routedPath, lengthOf(maxBodyBytes)), filler(maxBodyBytes, 1024, time.Second))},
		{"byte-chunks", Callers, 200, once(request("POST", routedPath, chunkedField), oneByteChunks)},
		{"byte-pieces", Callers, 200, once(request("POST", routedPath, lengthOf(maxBodyBytes)), filler(maxBodyBytes, 1, 100*time.Microsecond))},
		{"half-bodies", Callers, 400, once(request("POST", routedPath, lengthOf(maxBodyBytes)), filler(maxBodyBytes/2, 64<<10, 0))},
		{"half-chunked", Callers, 300, once(request("POST", routedPath, chunkedField)+"200000\r\n", filler(1<<20, 64<<10, 0))},
		{"huge-bodies", Callers, 100, once(request("POST", routedPath, lengthOf(9_000_000_000)), filler(9_000_000_000, 64<<10, 0))},
		{"endless-chunks", Callers, 100, once(request("POST", routedPath, chunkedField), endlessChunks)},
		{"endless-chunks-unrouted", Callers, 100, once(request("POST", unknownPath, chunkedField), endlessChunks)},
		{"many-fields", Callers, 1500, once(request("POST", routedPath, legal+lengthOf(1000)), filler(10, 10, 0))},
		{"repeated-field", Callers, 1500, once(request("POST", routedPath, fields(maxHeaderBytes-200, true)+lengthOf(1000)), filler(10, 10, 0))},
		{"many-fields-whole", Callers, 200, repeat(request("POST", routedPath, legal+lengthOf(10)), filler(10, 10, 0))},
		{"large-heads-unrouted", Callers, 1500, once(request("POST", unknownPath, fields(66_000, false)+lengthOf(1000)), filler(10, 10, 0))},
		{"slow-heads", Callers, 2400, once("POST "+routedPath+" HTTP/1.1\r\nHost: "+host+"\r\n", filler(1<<20, 1, 400*time.Millisecond))},
		{"half-heads", Callers, 2400, once(strings.TrimSuffix(request("POST", routedPath, legal), "\r\n"), rest)},
		{"trailers", Callers, 200, once(request("POST", routedPath, chunkedField)+"0\r\n"+fields(60_000, false)+"\r\n", rest)},
		{"pipelined-unrouted", Callers, 300, flood(request("GET", unknownPath, ""))},
		{"pipelined-routed", Callers, 100, flood(request("GET", "/board/abuse", ""))},
		{"pipelined-read", Callers, 100, floodAndRead(request("GET", unknownPath, ""))},
		{"pipelined-routed-read", Callers, 100, floodAndRead(request("GET", "/board/abuse", ""))},
		{"unread-answers", Callers, 900, once(request("GET", longPath, ""), rest)},
		{"slow-readers", Callers, 900, once(request("GET", longPath, ""), slowReader)},
		{"stalled-readers", Callers, 300, once(request("GET", longPath, ""), stalledReader)},
		{"silent", Callers, 2400, once("", rest)},
		{"kept-at-rest", Callers, 2400, once(request("GET", unknownPath, ""), rest)},
		{"connect-and-reset", Callers, 100, once(request("GET", "/board/abuse", ""), reset)},
		{"ready-fields", Readiness, 300, once("GET /v1/ready HTTP/1.1\r\nHost: h\r\n"+fields(900_000, false), rest)},
		{"ready-at-rest", Readiness, 3400, once("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n", rest)},
		{"ready-body", Readiness, 100, once("POST /v1/ready HTTP/1.1\r\nHost: h\r\n"+chunkedField+"\r\n", endlessChunks)},
		{"ready-pipelined", Readiness, 100, flood("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"metrics-fields", Metrics, 300, once("GET /metrics HTTP/1.1\r\nHost: h\r\n"+fields(900_000, false), rest)},
		{"metrics-pipelined", Metrics, 100, flood("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"metrics-at-rest", Metrics, 1500, once("", rest)},
		{"exchange-fields", Exchange, 300, once("GET /tables HTTP/1.1\r\nHost: h\r\n"+fields(900_000, false), rest)},
		{"exchange-at-rest", Exchange, 3400, once("GET /tables HTTP/1.1\r\nHost: h\r\n\r\n", rest)},
	}
}

const chunkedField = "Transfer-Encoding: chunked\r\n"

func lengthOf(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// request returns the head of a request with more header fields.
func request(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + idSlot + "\r\n" + more + "\r\n"
}

// fields returns short header fields of about that many bytes as the configuration counts them: with
// four bytes beside name and value. Their names differ unless same is set.
func fields(size int, same bool) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const separators = 4
	var out strings.Builder
	for number, counted := 0, 0; counted < size; number++ {
		name := []byte{'x'}
		for rest := number; !same && rest > 0; rest /= len(letters) {
			name = append(name, letters[rest%len(letters)])
		}
		out.Write(name)
		out.WriteString(":\r\n")
		counted += len(name) + separators
	}
	return out.String()
}

// body writes what follows the head of a request.
type body func(ctx context.Context, c net.Conn) error

// filler writes bytes in pieces, with a pause after each.
func filler(total, piece int, pause time.Duration) body {
	return func(ctx context.Context, c net.Conn) error {
		content := bytes.Repeat([]byte("b"), piece)
		for left := total; left > 0; left -= piece {
			if _, err := c.Write(content[:min(piece, left)]); err != nil {
				return err
			}
			if pause > 0 && !sleep(ctx, pause) {
				return ctx.Err()
			}
		}
		return nil
	}
}

// chunksAtOnce is how many bytes of chunks a client writes at a time.
const chunksAtOnce = 64 << 10

// oneByteChunks writes a body of the largest size allowed in chunks of a byte.
func oneByteChunks(ctx context.Context, c net.Conn) error {
	const chunk = "1\r\nb\r\n"
	piece := []byte(strings.Repeat(chunk, chunksAtOnce/len(chunk)))
	for sent := 0; sent < maxBodyBytes; sent += len(piece) / len(chunk) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

func endlessChunks(ctx context.Context, c net.Conn) error {
	piece := append(append([]byte("8000\r\n"), bytes.Repeat([]byte("b"), 0x8000)...), "\r\n"...)
	for ctx.Err() == nil {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// rest keeps the connection open without reading or writing.
func rest(ctx context.Context, c net.Conn) error {
	<-ctx.Done()
	return ctx.Err()
}

func reset(_ context.Context, c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return io.EOF
}

// slowReader reads 320 bytes a second.
func slowReader(ctx context.Context, c net.Conn) error {
	return readSlowly(ctx, c, 32, 100*time.Millisecond)
}

// stalledReader reads the first part of an answer and then nothing more.
func stalledReader(ctx context.Context, c net.Conn) error {
	if _, err := io.CopyN(io.Discard, c, 64<<10); err != nil {
		return err
	}
	return rest(ctx, c)
}

func readSlowly(ctx context.Context, c net.Conn, piece int, pause time.Duration) error {
	buffer := make([]byte, piece)
	for sleep(ctx, pause) {
		if _, err := c.Read(buffer); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// once sends a head and a body, and then waits until the connection is closed.
func once(head string, then body) func(context.Context, net.Conn, *requestIDs) {
	return func(ctx context.Context, c net.Conn, ids *requestIDs) {
		text, _ := ids.stamp(head)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if then(ctx, c) == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// answersAhead is how many requests a client that reads answers sends ahead.
const answersAhead = 1024

// repeat sends whole requests one after the other and reads the answers.
func repeat(head string, content body) func(context.Context, net.Conn, *requestIDs) {
	return func(ctx context.Context, c net.Conn, ids *requestIDs) {
		sent := make(chan string, answersAhead)
		defer close(sent)
		go ids.readAnswers(c, sent)
		for ctx.Err() == nil {
			text, numbers := ids.stamp(head)
			for _, id := range numbers {
				sent <- id
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			if content(ctx, c) != nil {
				return
			}
		}
	}
}

// flood sends requests ahead without reading the answers.
func flood(head string) func(context.Context, net.Conn, *requestIDs) {
	return func(ctx context.Context, c net.Conn, ids *requestIDs) {
		for ctx.Err() == nil {
			piece, _ := ids.stamp(strings.Repeat(head, max(chunksAtOnce/len(head), 1)))
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}
}

// floodAndRead sends requests ahead and reads the answers.
func floodAndRead(head string) func(context.Context, net.Conn, *requestIDs) {
	return repeat(strings.Repeat(head, 16), func(context.Context, net.Conn) error { return nil })
}

// sleep pauses. It returns false if ctx is done before the end.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
