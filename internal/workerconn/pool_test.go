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

// script is what a raw server does with one connection.
type script func(c net.Conn, requests *bufio.Reader)

// rawServer accepts connections and plays one script on each, in order; the last
// one is played on all that follow.
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

func (s *rawServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// take reads one request whole.
func take(requests *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err == nil
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// echo answers every request.
func echo(c net.Conn, requests *bufio.Reader) {
	for {
		id, ok := take(requests)
		if !ok {
			return
		}
		write(c, whole(id, "ok"))
	}
}

type result struct {
	status int
	body   string
	err    error
}

func ask(t *testing.T, pool *Pool, s *rawServer, id, body string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return askWithin(ctx, pool, s, id, body)
}

func askWithin(ctx context.Context, pool *Pool, s *rawServer, id, body string) result {
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
	for range 5 {
		wantAnswer(t, ask(t, pool, s, "1", "body"), "ok")
	}
	if s.connections() != 1 || pool.Opened() != 1 {
		t.Errorf("%d connections, %d opened", s.connections(), pool.Opened())
	}
}

// TestAnswerOfAnotherRequestIsDropped: the id shows which answer is whose.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		write(c, whole("earlier", "stray")+whole(id, "mine"))
		_, _ = take(requests)
	})
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, ask(t, pool, s, "1", ""), "mine")
}

// TestBytesAfterAnAnswerEndTheConnection: they belong to no request, whether they
// come with the answer or while the connection is idle.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	sent := make(chan struct{}, 1)
	late := func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		write(c, whole(id, "one"))
		write(c, whole("0", "extra"))
		sent <- struct{}{}
		_, _ = take(requests)
	}
	together := func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		write(c, whole(id, "one")+whole(id, "extra"))
		sent <- struct{}{}
		_, _ = take(requests)
	}
	for _, first := range []script{late, together} {
		s := serve(t, first, echo)
		pool := NewPool()
		wantAnswer(t, ask(t, pool, s, "1", ""), "one")
		<-sent
		awaitExtra(t, pool)
		wantAnswer(t, ask(t, pool, s, "1", ""), "ok")
		if s.connections() != 2 {
			t.Errorf("%d connections", s.connections())
		}
		pool.Close()
	}
}

// awaitExtra waits until what was sent has arrived at an idle connection.
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

// TestClosedIdleConnectionIsNotUsed: no request is lost to a connection that the
// worker closed before.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		write(c, whole(id, "one"))
	}, echo)
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, ask(t, pool, s, "1", ""), "one")
	awaitExtra(t, pool)
	wantAnswer(t, ask(t, pool, s, "1", ""), "ok")
}

// TestWorkersWordOnIdleTimeIsKept: an idle connection is not used so late that the
// worker may be closing it.
func TestWorkersWordOnIdleTimeIsKept(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		for {
			id, ok := take(requests)
			if !ok {
				return
			}
			write(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=9\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, ask(t, pool, s, "1", ""), "ok")
	wantAnswer(t, ask(t, pool, s, "2", ""), "ok")
	if s.connections() != 2 {
		t.Errorf("%d connections", s.connections())
	}
	if got := keepAlive(http.Header{"Keep-Alive": {"max=3, timeout=7"}}); got != 7*time.Second {
		t.Errorf("%v is read", got)
	}
}

func TestBrokenAnswersAreNotWhole(t *testing.T) {
	for name, play := range map[string]script{
		"cut in its length": func(c net.Conn, requests *bufio.Reader) {
			id, _ := take(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nshort")
		},
		"cut in a chunk": func(c net.Conn, requests *bufio.Reader) {
			id, _ := take(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
		},
		"without its last chunk": func(c net.Conn, requests *bufio.Reader) {
			id, _ := take(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
		},
		"unframed and reset": func(c net.Conn, requests *bufio.Reader) {
			id, _ := take(requests)
			write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nab")
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"no answer":        func(c net.Conn, requests *bufio.Reader) { _, _ = take(requests) },
		"not the protocol": func(c net.Conn, requests *bufio.Reader) { _, _ = take(requests); write(c, "rubbish\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, play)
			pool := NewPool()
			defer pool.Close()
			got := ask(t, pool, s, "1", "body")
			if got.err == nil {
				t.Fatalf("it looks whole: %+v", got)
			}
			if Unsent(got.err) {
				t.Error("it is called unsent")
			}
			if s.connections() != 1 {
				t.Errorf("it was sent %d times", s.connections())
			}
		})
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		write(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nall of it")
	})
	pool := NewPool()
	defer pool.Close()
	wantAnswer(t, ask(t, pool, s, "1", ""), "all of it")
}

// TestEarlyAnswer: a worker may answer before it has read a long body. The answer
// counts, and the connection is not used again while the body is still due.
func TestEarlyAnswer(t *testing.T) {
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		write(c, whole(request.Header.Get("Id"), "early"))
		time.Sleep(bodyWait * 2)
	}, echo)
	pool := NewPool()
	defer pool.Close()
	long := strings.Repeat("b", 32<<20)
	wantAnswer(t, ask(t, pool, s, "1", long), "early")
	wantAnswer(t, ask(t, pool, s, "2", ""), "ok")
	if s.connections() != 2 {
		t.Errorf("%d connections", s.connections())
	}
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	s := serve(t, echo)
	_ = s.listener.Close()
	pool := NewPool()
	got := ask(t, pool, s, "1", "")
	if !Unsent(got.err) {
		t.Errorf("%v is not called unsent", got.err)
	}
	if len(pool.open) != 0 {
		t.Errorf("%v connections are counted", pool.open)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, func(c net.Conn, requests *bufio.Reader) {
		id, _ := take(requests)
		arrived <- struct{}{}
		<-release
		write(c, whole(id, "ok"))
	})
	pool := NewPool()
	defer pool.Close()
	answers := make(chan result)
	for range 2 {
		go func() { answers <- askWithin(context.Background(), pool, s, "1", "") }()
		<-arrived
	}
	if got := ask(t, pool, s, "2", ""); !errors.Is(got.err, ErrFull) || !Unsent(got.err) {
		t.Errorf("a third connection: %v", got.err)
	}
	close(release)
	wantAnswer(t, <-answers, "ok")
	wantAnswer(t, <-answers, "ok")
}

// TestEndOfContextEndsTheConnection: the worker sees the caller leave.
func TestEndOfContextEndsTheConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	s := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = take(requests)
		close(arrived)
		_, _ = requests.ReadByte()
		close(closed)
	})
	pool := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan result)
	go func() { answers <- askWithin(ctx, pool, s, "1", "") }()
	<-arrived
	cancel()
	if got := <-answers; !errors.Is(got.err, context.Canceled) {
		t.Errorf("%v", got.err)
	}
	<-closed
}

func TestDropClosesIdleConnections(t *testing.T) {
	s := serve(t, echo)
	pool := NewPool()
	wantAnswer(t, ask(t, pool, s, "1", ""), "ok")
	pool.CloseIdle("worker")
	if len(pool.open) != 0 || len(pool.idle) != 0 {
		t.Errorf("open %v, idle %v", pool.open, pool.idle)
	}
}

// TestGivenUpRequestIsDropped: with DropAfter its connection is reset, so that the kernel
// sends nothing of it later; the same connection carries other requests as before.
func TestGivenUpRequestIsDropped(t *testing.T) {
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
			t.Error("answered")
		}
		if err, reset := <-ended, drop > 0; errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("dropped after %v: the connection ended with %v", drop, err)
		}
	}
}

// TestRequestIsNotSentAfterItsTime: a process that was paused, or waited for a connection,
// looks at the clock once more.
func TestRequestIsNotSentAfterItsTime(t *testing.T) {
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
	if _, err := pool.Do(pausedContext{context.Background()}, "w", server.address(), 0, request); !Unsent(err) {
		t.Errorf("%v", err)
	}
	if server.connections() != 1 {
		t.Errorf("%d connections", server.connections())
	}
}

// pausedContext is that of a process that was paused: its time is over, and its timer has
// not run yet.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }
