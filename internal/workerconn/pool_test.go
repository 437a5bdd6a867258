package workerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// script is how a rawServer handles one connection.
type script func(c net.Conn, requests *bufio.Reader)

// rawServer accepts connections and runs one script on each, in order. The last script also
// runs on all further connections.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	accepted int
}

func serve(t *testing.T, scripts ...script) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			play := scripts[min(s.accepted, len(scripts)-1)]
			s.accepted++
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				play(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) accepts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// readRequest reads one request with its body.
func readRequest(requests *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err == nil
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func completeAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// echo answers every request.
func echo(c net.Conn, requests *bufio.Reader) {
	for {
		id, ok := readRequest(requests)
		if !ok {
			return
		}
		write(c, completeAnswer(id, "ok"))
	}
}

type result struct {
	status int
	body   string
	err    error
}

func send(t *testing.T, pool *Pool, s *rawServer, id, body string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return sendWithin(ctx, pool, s, id, body)
}

func sendWithin(ctx context.Context, pool *Pool, s *rawServer, id, body string) result {
	answer, err := pool.Do(ctx, "worker", s.address(), 2, &Request{
		Method: http.MethodPost, Target: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte(body), IDHeader: "Id", ID: id,
	})
	if err != nil {
		return result{err: err}
	}
	content, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return result{status: answer.Status, body: string(content), err: err}
}

func wantAnswer(t *testing.T, got result, body string) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.body != body {
		t.Errorf("%+v, want the body %q", got, body)
	}
}

func TestConnectionsAreKept(t *testing.T) {
	s := serve(t, echo)
	pool := NewPool()
	defer pool.Close()
	for number := range 5 {
		wantAnswer(t, send(t, pool, s, strconv.Itoa(number), "body"), "ok")
	}
	if s.accepts() != 1 || pool.Opened() != 1 {
		t.Errorf("%d connections were accepted, %d opened, want 1", s.accepts(), pool.Opened())
	}
}

// TestAnswerOfAnotherRequestIsDropped checks that answers are matched to requests by id.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		write(c, completeAnswer("earlier", "stray")+completeAnswer(id, "mine"))
		_, _ = readRequest(requests)
	})
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, send(t, pool, s, "1", ""), "mine")
}

// TestBytesAfterAnAnswerEndTheConnection checks that a connection isn't used again if further
// bytes have arrived, with the answer or while it was idle.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	sent := make(chan struct{}, 1)
	late := func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		write(c, completeAnswer(id, "one"))
		write(c, completeAnswer("0", "extra"))
		sent <- struct{}{}
		_, _ = readRequest(requests)
	}
	together := func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		write(c, completeAnswer(id, "one")+completeAnswer(id, "extra"))
		sent <- struct{}{}
		_, _ = readRequest(requests)
	}
	for _, first := range []script{late, together} {
		s := serve(t, first, echo)
		pool := NewPool()
		wantAnswer(t, send(t, pool, s, "1", ""), "one")
		<-sent
		awaitExtra(t, pool)
		wantAnswer(t, send(t, pool, s, "2", ""), "ok")
		if s.accepts() != 2 {
			t.Errorf("%d connections were accepted", s.accepts())
		}
		pool.Close()
	}
}

// awaitExtra waits until the extra bytes, or the end, have arrived at an idle connection.
func awaitExtra(t *testing.T, pool *Pool) {
	t.Helper()
	pool.mu.Lock()
	kept := pool.idle["worker"]
	pool.mu.Unlock()
	for _, c := range kept {
		for end := time.Now().Add(10 * time.Second); c.quiet(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the extra bytes did not arrive")
			}
		}
	}
}

// TestClosedIdleConnectionIsNotUsed checks that no request is sent over an idle connection that
// the worker has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		write(c, completeAnswer(id, "one"))
	}, echo)
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, send(t, pool, s, "1", ""), "one")
	awaitExtra(t, pool)
	wantAnswer(t, send(t, pool, s, "2", ""), "ok")
}

// TestKeepAliveTimeoutOfTheWorkerIsRespected checks that an idle connection isn't used again
// when the worker may be closing it.
func TestKeepAliveTimeoutOfTheWorkerIsRespected(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			write(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=9\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, send(t, pool, s, "1", ""), "ok")
	wantAnswer(t, send(t, pool, s, "2", ""), "ok")
	if s.accepts() != 2 {
		t.Errorf("%d connections were accepted", s.accepts())
	}
	if got := keepAlive(http.Header{"Keep-Alive": {"max=3, timeout=7"}}); got != 7*time.Second {
		t.Errorf("keepAlive returns %v, want 7s", got)
	}
}

func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, play := range map[string]script{
		"cut in its length": func(c net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nshort")
		},
		"cut in a chunk": func(c net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
		},
		"without its last chunk": func(c net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
		},
		"unframed and reset": func(c net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nab")
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"no answer":        func(c net.Conn, requests *bufio.Reader) { _, _ = readRequest(requests) },
		"not the protocol": func(c net.Conn, requests *bufio.Reader) { _, _ = readRequest(requests); write(c, "rubbish\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, play)
			pool := NewPool()
			defer pool.Close()
			got := send(t, pool, s, "1", "body")
			if got.err == nil {
				t.Fatalf("a truncated answer is taken for complete: %+v", got)
			}
			if Unsent(got.err) {
				t.Error("the request is reported as unsent")
			}
			if s.accepts() != 1 {
				t.Errorf("the request was sent %d times", s.accepts())
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nall of it")
	})
	pool := NewPool()
	defer pool.Close()
	got := send(t, pool, s, "1", "")
	if !errors.Is(got.err, ErrUnproved) || got.status != http.StatusOK || got.body != "all of it" {
		t.Errorf("%+v, want the body %q and an unproved end", got, "all of it")
	}
}

// TestAnswerBeforeTheRequestBodyIsSent checks that a worker may answer before it has read a
// long body, and that the connection isn't used again while the body is still being sent.
func TestAnswerBeforeTheRequestBodyIsSent(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		write(c, completeAnswer(request.Header.Get("Id"), "early"))
		time.Sleep(bodyWait * 2)
	}, echo)
	pool := NewPool()
	defer pool.Close()
	long := strings.Repeat("b", 32<<20)
	wantAnswer(t, send(t, pool, s, "1", long), "early")
	wantAnswer(t, send(t, pool, s, "2", ""), "ok")
	if s.accepts() != 2 {
		t.Errorf("%d connections were accepted", s.accepts())
	}
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	s := serve(t, echo)
	_ = s.listener.Close()
	pool := NewPool()
	got := send(t, pool, s, "1", "")
	if !Unsent(got.err) {
		t.Errorf("the error is %v, want one that reports the request as unsent", got.err)
	}
	if len(pool.open) != 0 {
		t.Errorf("open connections are %v, want none", pool.open)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		arrived <- struct{}{}
		<-release
		write(c, completeAnswer(id, "ok"))
	})
	pool := NewPool()
	defer pool.Close()
	answers := make(chan result)
	for range 2 {
		go func() { answers <- sendWithin(context.Background(), pool, s, "1", "") }()
		<-arrived
	}
	if got := send(t, pool, s, "2", ""); !errors.Is(got.err, ErrFull) || !Unsent(got.err) {
		t.Errorf("the error of a third connection is %v, want ErrFull", got.err)
	}
	close(release)
	wantAnswer(t, <-answers, "ok")
	wantAnswer(t, <-answers, "ok")
}

// TestEndOfContextEndsTheConnection checks that the worker sees when the caller leaves.
func TestEndOfContextEndsTheConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	s := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = readRequest(requests)
		close(arrived)
		_, _ = requests.ReadByte()
		close(closed)
	})
	pool := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan result)
	go func() { answers <- sendWithin(ctx, pool, s, "1", "") }()
	<-arrived
	cancel()
	if got := <-answers; !errors.Is(got.err, context.Canceled) {
		t.Errorf("the error is %v, want that of the context", got.err)
	}
	<-closed
}

func TestCloseIdleClosesIdleConnections(t *testing.T) {
	s := serve(t, echo)
	pool := NewPool()
	wantAnswer(t, send(t, pool, s, "1", ""), "ok")
	pool.CloseIdle("worker")
	if len(pool.open) != 0 || len(pool.idle) != 0 {
		t.Errorf("open %v, idle %v", pool.open, pool.idle)
	}
}

// TestCancelledRequestResetsTheConnection checks that a cancelled request resets its connection
// if it has DropAfter, so that the kernel doesn't send the rest of it later, and only then.
func TestCancelledRequestResetsTheConnection(t *testing.T) {
	for _, drop := range []time.Duration{0, time.Second} {
		ctx, giveUp := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		server := serve(t, func(c net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err != nil {
				ended <- err
				return
			}
			giveUp()
			_, err := io.Copy(io.Discard, requests)
			ended <- err
		})
		pool := NewPool()
		request := &Request{Method: http.MethodPost, Target: "/", Host: "w", DropAfter: drop}
		if _, err := pool.Do(ctx, "w", server.address(), 0, request); err == nil {
			t.Error("a cancelled request was answered")
		}
		if err, reset := <-ended, drop > 0; errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("DropAfter %v: the connection ended with %v", drop, err)
		}
	}
}

// TestRequestIsNotSentAfterItsDeadline checks that a request with DropAfter isn't sent if its
// deadline has passed while the process was paused or the request waited for a connection.
func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	server := serve(t, func(c net.Conn, requests *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := NewPool()
	request := &Request{Method: http.MethodPost, Target: "/", Host: "w", DropAfter: time.Second}
	answer, err := pool.Do(context.Background(), "w", server.address(), 0, request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if _, err := pool.Do(expiredContext{context.Background()}, "w", server.address(), 0, request); !Unsent(err) {
		t.Errorf("the error is %v, want one that reports the request as unsent", err)
	}
	if server.accepts() != 1 {
		t.Errorf("%d connections were accepted", server.accepts())
	}
}

// expiredContext is the context of a process that was paused: its deadline has passed, but its
// timer hasn't fired yet.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }
