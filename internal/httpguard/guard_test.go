package httpguard

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const awaitTimeout = 20 * time.Second

// scripted is a connection whose client sends pieces and takes all answers.
type scripted struct {
	net.Conn
	mu     sync.Mutex
	pieces [][]byte
	sent   bytes.Buffer
	closed chan struct{}
	once   sync.Once
}

func newScripted(pieces ...[]byte) *scripted {
	return &scripted{pieces: pieces, closed: make(chan struct{})}
}

func (s *scripted) Read(buffer []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pieces) > 0 && len(s.pieces[0]) == 0 {
		s.pieces = s.pieces[1:]
	}
	if len(s.pieces) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, s.pieces[0])
	s.pieces[0] = s.pieces[0][count:]
	return count, nil
}

func (s *scripted) Write(content []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent.Write(content)
}

func (s *scripted) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// awaitClosed waits until net/http has closed the connection, which may linger.
func (s *scripted) awaitClosed(guard *Guard) bool {
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); {
		select {
		case <-s.closed:
			return true
		case <-time.After(100 * time.Microsecond):
		}
		if guard != nil && guard.lingers() > 0 {
			return true
		}
	}
	return false
}

func (g *Guard) lingers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.lingering)
}

func (g *Guard) openNow() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (s *scripted) SetDeadline(time.Time) error      { return nil }
func (s *scripted) SetReadDeadline(time.Time) error  { return nil }
func (s *scripted) SetWriteDeadline(time.Time) error { return nil }
func (s *scripted) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (s *scripted) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// single accepts one connection.
type single struct {
	conn chan net.Conn
	done chan struct{}
	once sync.Once
}

func newSingle(c net.Conn) *single {
	l := &single{conn: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conn <- c
	return l
}

func (l *single) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *single) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *single) Addr() net.Addr { return &net.TCPAddr{} }

// recorder records the requests that a handler gets.
type recorder struct {
	mu   sync.Mutex
	seen []string
}

func (r *recorder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, fmt.Sprintf("%s %s %v %x %v", request.Method, request.RequestURI, request.Header, body, err))
	_, _ = io.WriteString(writer, "ok")
}

func roomy() Limits { return Limits{HeadBytes: 64 << 10} }

func newTestGuard(memory int64, connections int, limits func() Limits) *Guard {
	return New(Options{Port: "test", Memory: memory, Connections: connections, Limits: limits, Grace: 100 * time.Millisecond})
}

// play serves one scripted connection and returns what the handler got and the client.
func play(t *testing.T, guard *Guard, pieces ...[]byte) ([]string, string) {
	t.Helper()
	handler := &recorder{}
	server := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10}
	client := newScripted(pieces...)
	listener := newSingle(client)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if guard != nil {
			_ = guard.Serve(server, listener)
		} else {
			_ = server.Serve(listener)
		}
	}()
	if !client.awaitClosed(guard) {
		t.Fatal("the connection isn't closed although its client has sent all")
	}
	_ = server.Close()
	<-ended
	for end := time.Now().Add(awaitTimeout); guard != nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if connections, _, _ := guard.figures(); connections == 0 { // net/http tells of a closed connection later
			break
		}
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	client.mu.Lock()
	defer client.mu.Unlock()
	return handler.seen, client.sent.String()
}

// randomRequests returns some requests in a row, as bytes.
func randomRequests(random *rand.Rand) []byte {
	var out bytes.Buffer
	ends := []string{"\r\n", "\n"}
	for range 1 + random.IntN(6) {
		end := ends[random.IntN(2)]
		body := strings.Repeat("b\r\n\r\n\n", random.IntN(900))
		kind := random.IntN(4)
		if kind == 3 {
			out.WriteString("\r\n")
		}
		method := "POST"
		if kind == 0 {
			method, body = "GET", ""
		}
		fmt.Fprintf(&out, "%s /%d HTTP/1.1%sHost: h%s", method, random.IntN(9), end, end)
		for number := range random.IntN(1 + 300*random.IntN(3)) {
			fmt.Fprintf(&out, "X%d: %d%s", number, random.IntN(99), end)
		}
		switch kind {
		case 0:
			out.WriteString(end)
		case 1:
			fmt.Fprintf(&out, "Transfer-Encoding: chunked%s%s", end, end)
			for rest := body; rest != ""; {
				size := min(1+random.IntN(2000), len(rest))
				fmt.Fprintf(&out, "%x\r\n%s\r\n", size, rest[:size])
				rest = rest[size:]
			}
			out.WriteString("0\r\n\r\n")
		default:
			fmt.Fprintf(&out, "Content-Length: %d%s%s%s", len(body), end, end, body)
		}
	}
	return out.Bytes()
}

// split cuts bytes into random pieces.
func split(random *rand.Rand, content []byte) [][]byte {
	var pieces [][]byte
	most := []int{2, 40, 5000, 100_000}[random.IntN(4)]
	for len(content) > 0 {
		size := min(1+random.IntN(most), len(content))
		pieces = append(pieces, bytes.Clone(content[:size]))
		content = content[size:]
	}
	return pieces
}

// TestRequestsArriveAsWithoutAGuard guards against heads whose end is missed, which would wait until
// the client gives up, and against bytes that are lost or doubled, however they are cut into pieces.
func TestRequestsArriveAsWithoutAGuard(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		content := randomRequests(random)
		if seed%5 == 0 {
			content = content[:random.IntN(len(content))]
		}
		pieces := split(random, content)
		copies := make([][]byte, len(pieces))
		for i, piece := range pieces {
			copies[i] = bytes.Clone(piece)
		}
		want, wantSent := play(t, nil, copies...)
		guard := newTestGuard(64<<20, 10, roomy)
		got, sent := play(t, guard, pieces...)
		if seed%5 == 0 { // an unfinished head isn't passed on, so it isn't answered with 400 either
			wantSent, sent = "", ""
		}
		dates := func(text string) string {
			lines := strings.Split(text, "\r\n")
			for i := range lines {
				if strings.HasPrefix(lines[i], "Date: ") {
					lines[i] = "Date"
				}
			}
			return strings.Join(lines, "\r\n")
		}
		if diff := cmp.Diff(want, got) + cmp.Diff(dates(wantSent), dates(sent)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		if connections, held, _ := guard.figures(); connections != 0 || held != 0 || guard.openNow() != 0 || guard.options.Turns.isTaken() {
			t.Fatalf("seed %d: %d connections, %d open, %d bytes or a turn are still held", seed, connections, guard.openNow(), held)
		}
	}
}

func shortFields(count int) string {
	var out strings.Builder
	for number := range count {
		fmt.Fprintf(&out, "a%d:\r\n", number)
	}
	return out.String()
}

// TestHeadsThatCostTooMuchAreRefusedUnparsed: what a head costs is its fields, not its bytes.
func TestHeadsThatCostTooMuchAreRefusedUnparsed(t *testing.T) {
	const fields = 2000
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + shortFields(fields) + "\r\n"
	seen, sent := play(t, newTestGuard(fields*fieldCost, 10, roomy), []byte(request))
	if len(seen) != 0 || !strings.HasPrefix(sent, "HTTP/1.1 503 ") {
		t.Errorf("the handler got %v, the client %q", seen, sent)
	}
	seen, sent = play(t, newTestGuard(4*fields*fieldCost, 10, roomy), []byte(request))
	if len(seen) != 1 || !strings.HasPrefix(sent, "HTTP/1.1 200 ") {
		t.Errorf("with room for it, the handler got %d requests, the client %q", len(seen), sent)
	}
}

// TestRefusedRequestsAreNotHandled: net/http passes over an error between two lines of a head and reads on,
// so a request that was refused would be handled with what comes next.
func TestRefusedRequestsAreNotHandled(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var content []byte
		for range 6 {
			content = append(content, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"+shortFields(random.IntN(1500))+"\r\nbody"...)
		}
		guard := newTestGuard(300<<10, 10, roomy)
		seen, sent := play(t, guard, split(random, content)...)
		served, refused := strings.Count(sent, "HTTP/1.1 200 "), strings.Count(sent, "HTTP/1.1 503 ")
		if len(seen) != served || refused > 1 || strings.Count(sent, "HTTP/1.1 ") != served+refused {
			t.Fatalf("seed %d: %d requests were handled, %d served and %d refused: %q", seed, len(seen), served, refused, sent)
		}
		if refused == 1 && !strings.HasPrefix(sent[strings.LastIndex(sent, "HTTP/1.1 "):], "HTTP/1.1 503 ") {
			t.Fatalf("seed %d: a refusal isn't the last answer: %q", seed, sent)
		}
	}
}

// TestHeadsBeyondTheLimitAreRefused follows the limits in force.
func TestHeadsBeyondTheLimitAreRefused(t *testing.T) {
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + shortFields(1000) + "\r\n"
	for limit, status := range map[int]string{4000: "431", 40_000: "200", 0: "200"} {
		_, sent := play(t, newTestGuard(64<<20, 10, func() Limits { return Limits{HeadBytes: limit} }), []byte(request))
		if !strings.HasPrefix(sent, "HTTP/1.1 "+status) {
			t.Errorf("limit %d: %q, want status %s", limit, sent, status)
		}
	}
}

// TestPipelinedHeadsAreCounted: a head that comes with the request before costs as much as any.
func TestPipelinedHeadsAreCounted(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + shortFields(200) + "\r\n"
	var most int64
	guard := newTestGuard(64<<20, 10, roomy)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/" {
			_, held, _ := guard.figures()
			most = max(most, held)
		}
	})}
	client := newScripted([]byte("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + head))
	listener := newSingle(client)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = guard.Serve(server, listener) }()
	<-client.closed
	_ = server.Close()
	<-ended
	if want := int64(connectionCost + requestCost + 200*fieldCost); most < want {
		t.Errorf("%d bytes were reserved, want %d", most, want)
	}
}

// connOf returns a connection that a guard has admitted, in a phase since some time ago.
func connOf(t *testing.T, guard *Guard, in phase, held int64, ago time.Duration) *conn {
	t.Helper()
	c := guard.admit(newScripted())
	if c == nil {
		t.Fatal("a connection isn't admitted")
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if !c.reserveRequest(held, 0, time.Now()) {
		t.Fatal("no room")
	}
	c.phase, c.since = in, time.Now().Add(-ago)
	return c
}

// TestThoseWhoHeldMostForLongestGiveWay: ordinary callers come new all the time, so the newest must not
// be the ones that are refused.
func TestThoseWhoHeldMostForLongestGiveWay(t *testing.T) {
	const room = 1 << 20
	guard := newTestGuard(room, 100, roomy)
	small := connOf(t, guard, idle, 0, 3*time.Second)
	large := connOf(t, guard, head, 40<<10, 2*time.Second)
	fresh := connOf(t, guard, head, 40<<10, 0)
	working := connOf(t, guard, handling, 40<<10, time.Minute)
	reading := connOf(t, guard, handling, 40<<10, time.Minute)
	reading.waiting = time.Now().Add(-time.Second)
	var admitted int
	for guard.admit(newScripted()) != nil {
		if admitted++; large.dropped {
			break
		}
	}
	if !large.dropped || small.dropped || fresh.dropped || working.dropped || reading.dropped {
		t.Fatalf("evicted: small %v, large %v, fresh %v, working %v, reading %v", small.dropped, large.dropped, fresh.dropped, working.dropped, reading.dropped)
	}
	for end := time.Now().Add(awaitTimeout); !reading.dropped && time.Now().Before(end); {
		if guard.admit(newScripted()) == nil {
			time.Sleep(searchInterval)
		}
	}
	if !reading.dropped || fresh.dropped || working.dropped {
		t.Errorf("evicted next: reading %v, fresh %v, working %v", reading.dropped, fresh.dropped, working.dropped)
	}
	if guard.used > room {
		t.Errorf("%d of %d bytes are reserved", guard.used, room)
	}
}

// TestLargeHoldingsLeaveRoomForSmallOnes: many large requests at once must not lock ordinary ones out.
func TestLargeHoldingsLeaveRoomForSmallOnes(t *testing.T) {
	const room = 8 << 20
	guard := newTestGuard(room, 1000, roomy)
	refused := 0
	for range 40 {
		c := guard.admit(newScripted())
		guard.mu.Lock()
		if c == nil || !c.reserveRequest(512<<10, 0, time.Now()) {
			refused++
		}
		guard.mu.Unlock()
	}
	if refused == 0 || guard.used > room {
		t.Fatalf("%d large holdings were refused, %d of %d bytes reserved", refused, guard.used, room)
	}
	for range 10 {
		c := guard.admit(newScripted())
		if c == nil || !c.begin(0) {
			t.Fatal("an ordinary request finds no room")
		}
	}
}

// TestLargeRequestsThatFindNoRoomDontKeepSmallOnesFromMakingRoom: what has been without progress for less than
// largeGrace gives way to small requests, also just after large ones have found nothing.
func TestLargeRequestsThatFindNoRoomDontKeepSmallOnesFromMakingRoom(t *testing.T) {
	const room = 2 << 20
	guard := newTestGuard(room, 1000, roomy)
	for guard.used+connectionCost <= room {
		guard.admit(newScripted())
	}
	time.Sleep(2 * searchInterval)
	guard.mu.Lock()
	var large *conn
	for c := range guard.conns {
		c.answered = true // others give way at once
		c.since = time.Now().Add(-largeGrace / 2)
		large = c
	}
	reserved := large.reserveRequest(room/2, 0, time.Now())
	guard.mu.Unlock()
	if reserved {
		t.Fatal("a large request finds room")
	}
	if guard.admit(newScripted()) == nil {
		t.Error("a new connection finds no room although others are without progress")
	}
}

// TestConnectionsBeyondTheMostEvictIdleOnes and reset new ones only where none is idle.
func TestConnectionsBeyondTheMostEvictIdleOnes(t *testing.T) {
	const most = 10
	guard := newTestGuard(64<<20, most, roomy)
	var admitted []*conn
	for range most {
		admitted = append(admitted, connOf(t, guard, handling, 0, time.Minute))
	}
	if guard.admit(newScripted()) != nil {
		t.Fatal("a connection is admitted although all others are in use")
	}
	admitted[3].phase = idle
	time.Sleep(searchInterval)
	if guard.admit(newScripted()) == nil || !admitted[3].dropped {
		t.Fatal("the idle connection doesn't make room")
	}
	guard.forget(admitted[3])
	if guard.open != most || len(guard.conns) != most {
		t.Errorf("%d open, %d known, want %d", guard.open, len(guard.conns), most)
	}
}

// TestRefusedClientsLinger: one that connects again at once costs more than one that waits. It makes room.
func TestRefusedClientsLinger(t *testing.T) {
	const most = 10
	guard := newTestGuard(64<<20, most, func() Limits { return Limits{HeadBytes: 100} })
	refuse := func() *scripted {
		client := newScripted([]byte(strings.Repeat("x", 200)))
		c := guard.admit(client)
		if c == nil {
			t.Fatal("a connection isn't admitted")
		}
		if _, err := c.Read(make([]byte, readerSize)); err != io.EOF {
			t.Fatalf("a head that is too large: %v", err)
		}
		_ = c.Close()
		guard.forget(c)
		return client
	}
	closed := func(client *scripted) bool {
		select {
		case <-client.closed:
			return true
		default:
			return false
		}
	}
	first, second := refuse(), refuse()
	guard.closeOverdue(Limits{}, time.Now().Add(lingerTimeout/2))
	if closed(first) || guard.lingers() != 2 || guard.used != 2*lingerCost {
		t.Errorf("%d linger, %d bytes are reserved", guard.lingers(), guard.used)
	}
	for range most - 1 {
		if guard.admit(newScripted()) == nil {
			t.Fatal("a connection isn't admitted although others only linger")
		}
	}
	if !closed(first) || closed(second) {
		t.Errorf("closed to make room: the first %v, the second %v", closed(first), closed(second))
	}
	guard.closeOverdue(Limits{}, time.Now().Add(2*lingerTimeout))
	if !closed(second) || guard.open != most-1 {
		t.Errorf("the second is closed in time: %v; %d are open", closed(second), guard.open)
	}
}

// TestOverdueClientsAreClosed checks each time limit, and that none closes a client within it.
func TestOverdueClientsAreClosed(t *testing.T) {
	limits := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, StallTimeout: 10 * time.Second, AnswerTimeout: 250 * time.Millisecond, LeastRate: 1000}
	guard := newTestGuard(64<<20, 100, func() Limits { return limits })
	for _, c := range []struct {
		name    string
		in      phase
		ago     time.Duration
		waiting time.Duration
		lag     time.Duration
		writing bool
		closed  bool
	}{
		{"at rest for four fifths of the limit", idle, 12 * time.Second, 0, 0, false, false},
		{"at rest for too long", idle, 16 * time.Second, 0, 0, false, true},
		{"slow head", head, 2 * time.Second, 0, 0, false, false},
		{"too slow head", head, 4 * time.Second, 0, 0, false, true},
		{"long request", handling, time.Hour, 0, 0, false, false},
		{"body behind the least rate", handling, time.Hour, 5 * time.Second, 4 * time.Second, false, false},
		{"body too far behind", handling, time.Hour, 5 * time.Second, 6 * time.Second, false, true},
		{"reader behind the least rate", handling, time.Hour, 100 * time.Millisecond, 100 * time.Millisecond, true, false},
		{"reader too far behind", handling, time.Hour, 100 * time.Millisecond, 200 * time.Millisecond, true, true},
		{"rest of a body", finishing, 11 * time.Second, 0, 0, false, true},
	} {
		added := connOf(t, guard, c.in, 0, c.ago)
		if c.waiting > 0 {
			added.waiting = time.Now().Add(-c.waiting)
		}
		added.lag, added.writing = c.lag, c.writing
		guard.closeOverdue(limits, time.Now())
		if added.dropped != c.closed {
			t.Errorf("%s: closed %v", c.name, added.dropped)
		}
	}
}

// TestSlowClientsFallBehind measures the lag of a client against the least rate.
func TestSlowClientsFallBehind(t *testing.T) {
	guard := newTestGuard(64<<20, 10, func() Limits { return Limits{LeastRate: 1000} })
	c := connOf(t, guard, handling, 0, 0)
	wait := func(span time.Duration, count int) {
		c.waiting = time.Now().Add(-span)
		c.endWait(count)
	}
	wait(4*time.Second, 1000)
	if lag := c.lag.Round(time.Second); lag != 3*time.Second {
		t.Errorf("lag %v after 1000 bytes in 4 s, want 3 s", lag)
	}
	if c.beginWait(true); c.lag != 0 {
		t.Errorf("a client that sent its body slowly begins to read the answer with a lag of %v", c.lag)
	}
	wait(4*time.Second, 1000)
	wait(time.Second, 100_000)
	if c.lag != 0 {
		t.Errorf("lag %v after a fast piece, want none", c.lag)
	}
}

func (t *Turns) isTaken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == taken
}

// TestTurns: of the connections that keep the processor busy one works at a time, and the others don't wait.
func TestTurns(t *testing.T) {
	guard := newTestGuard(64<<20, 10, roomy)
	busy, other, ordinary := connOf(t, guard, head, 0, 0), connOf(t, guard, head, 0, 0), connOf(t, guard, head, 0, 0)
	busy.takeTurn(creditBytes + 1)
	if !busy.holdsTurn.Load() {
		t.Fatal("a connection without credit has no turn")
	}
	ordinary.takeTurn(requestEffort)
	if ordinary.holdsTurn.Load() {
		t.Error("a connection with credit takes a turn")
	}
	took := make(chan struct{})
	go func() {
		other.takeTurn(creditBytes + 1)
		close(took)
	}()
	select {
	case <-took:
		t.Fatal("two connections have a turn at the same time")
	case <-time.After(20 * time.Millisecond):
	}
	busy.endTurn()
	busy.endTurn()
	<-took
	_ = other.Close()
	if guard.options.Turns.isTaken() {
		t.Error("a closed connection keeps its turn")
	}
}

// TestConnectionsBeyondTheLimitAreResetUnread: a process that runs out of descriptors loses what it
// has accepted, and one that stops accepting lets clients wait.
func TestConnectionsBeyondTheLimitAreResetUnread(t *testing.T) {
	const most = 3
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := newTestGuard(64<<20, most, roomy)
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})}
	go func() { _ = guard.Serve(server, inner) }()
	t.Cleanup(func() { close(release); _ = server.Close() })
	ask := func() (net.Conn, error) {
		c, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = c.Read(make([]byte, 1))
		return c, err
	}
	var accepted []net.Conn
	for range most {
		c, err := ask()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, c)
	}
	if _, err := ask(); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && err != io.EOF {
		t.Errorf("a connection beyond the limit ends with %v, want it reset", err)
	}
	connections, _, refused := guard.figures()
	if refused[NoRoomToAccept] == 0 || connections != most {
		t.Errorf("%d open, %d refused", connections, refused[NoRoomToAccept])
	}
	_ = accepted[0].Close()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, err := ask(); err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection is accepted after one was closed")
		}
	}
}
