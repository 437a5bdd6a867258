package httpguard

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// lateEnd is a connection whose client sends nothing and ends it after some time. It synchronizes with nothing,
// so that the race detector sees what its users leave unsynchronized.
type lateEnd struct {
	*scripted
	after time.Duration
}

func (l *lateEnd) Read([]byte) (int, error) {
	time.Sleep(l.after)
	return 0, io.EOF
}

// TestServerClosesConnectionsThatEnd guards against a data race: net/http's Server.Close closes connections
// from another goroutine than the one that serves them.
func TestServerClosesConnectionsThatEnd(t *testing.T) {
	guard := newTestGuard(64<<20, 10, roomy)
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = guard.Serve(server, newSingle(&lateEnd{newScripted(), 200 * time.Millisecond}))
	}()
	for guard.openNow() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the connection is being read
	_ = server.Close()
	<-ended
	time.Sleep(300 * time.Millisecond) // its reader has returned
}

// TestRefusedClientsLingerOnce guards against a connection that is counted twice: Server.Close and the goroutine
// that serves a connection both close it.
func TestRefusedClientsLingerOnce(t *testing.T) {
	guard := newTestGuard(64<<20, 10, func() Limits { return Limits{HeadBytes: 100} })
	client := newScripted([]byte(strings.Repeat("x", 200)))
	c := guard.admit(client)
	if _, err := c.Read(make([]byte, readerSize)); err != io.EOF {
		t.Fatalf("a head that is too large: %v", err)
	}
	_ = c.Close()
	_ = c.Close()
	guard.forget(c)
	if guard.lingers() != 1 || guard.used != lingerCost || guard.openNow() != 1 {
		t.Errorf("%d linger, %d bytes are reserved, %d are open; want one connection", guard.lingers(), guard.used, guard.openNow())
	}
}

// TestClientsThatLeaveWithinAHeadDontLinger: they get no answer that a close could destroy.
func TestClientsThatLeaveWithinAHeadDontLinger(t *testing.T) {
	guard := newTestGuard(64<<20, 10, roomy)
	c := guard.admit(newScripted([]byte("GET / HTTP/1.1\r\nHost:")))
	if _, err := c.Read(make([]byte, readerSize)); err != io.EOF {
		t.Fatalf("a client that leaves: %v", err)
	}
	_ = c.Close()
	guard.forget(c)
	if guard.lingers() != 0 || guard.used != 0 || guard.openNow() != 0 {
		t.Errorf("%d linger, %d bytes are reserved, %d are open; want none", guard.lingers(), guard.used, guard.openNow())
	}
}

// TestRefusedClientsAreNotSentAway: half-closing the connection of a client that was refused for want of room made it
// connect again at once, while net/http kept what the last connection held for half a second. Such clients filled
// the budget with their refusals.
func TestRefusedClientsAreNotSentAway(t *testing.T) {
	const room = 2 << 20
	for name, head := range map[string]string{
		"announced": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n",
		"chunked":   "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			guard := newTestGuard(room, 10, roomy)
			address := serveBodies(t, guard)
			client, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			go func() { _, _ = io.WriteString(client, head+strings.Repeat("b", 4_000_000)) }()
			reader := bufio.NewReader(client)
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("status %d, error %v", answer.StatusCode, err)
			}
			_ = client.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("after the answer: %v, want an open connection", err)
			}
			for end := time.Now().Add(awaitTimeout); guard.lingers() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if _, held, _ := guard.figures(); guard.lingers() != 1 || held != lingerCost {
				t.Errorf("%d linger, %d bytes are reserved", guard.lingers(), held)
			}
		})
	}
}

// serveBodies serves requests whose bodies are read into reserved memory, and returns the address.
func serveBodies(t *testing.T, guard *Guard) string {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		holding, _ := HoldingOf(request.Context())
		if !Crowded(request.Context()) {
			if _, err := ReadAll(request.Body, request.ContentLength, holding.Reserve); err == nil {
				return
			}
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = guard.Serve(server, inner)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return inner.Addr().String()
}

// refusedClient returns a connection whose request found no room.
func refusedClient(t *testing.T, guard *Guard) (*conn, *scripted) {
	t.Helper()
	client := newScripted()
	c := guard.admit(client)
	if c == nil {
		t.Fatal("a connection isn't admitted")
	}
	if c.begin(0) && (Holding{c}).Reserve(guard.options.Memory) == nil {
		t.Fatal("a body of the size of the budget finds room")
	}
	c.finish()
	return c, client
}

// TestManyRefusedClientsLingerInPlaceOfTheFirst: those that lingered for longest have likely left.
func TestManyRefusedClientsLingerInPlaceOfTheFirst(t *testing.T) {
	const most = 32
	guard := newTestGuard(most*lingerCost*lingerParts, 100, roomy)
	var clients []*scripted
	for range most + 1 {
		c, client := refusedClient(t, guard)
		clients = append(clients, client)
		_ = c.Close()
		guard.forget(c)
	}
	if guard.lingers() != most || guard.used != most*lingerCost || guard.openNow() != most {
		t.Errorf("%d linger, %d bytes are reserved, %d are open", guard.lingers(), guard.used, guard.openNow())
	}
	for number, client := range clients {
		closed := false
		select {
		case <-client.closed:
			closed = true
		default:
		}
		if closed != (number == 0) {
			t.Errorf("client %d: closed %v", number, closed)
		}
	}
}

// TestRefusedClientsLingerInAFullBudget: they take the place of what their connections held. They leave as much to
// small requests as large ones do, and give way only as far as those need it.
func TestRefusedClientsLingerInAFullBudget(t *testing.T) {
	const room = 2 << 20
	guard := newTestGuard(room, 1000, roomy)
	for range 16 {
		c, _ := refusedClient(t, guard)
		_ = c.Close()
		guard.forget(c)
	}
	if most, want := guard.limitFor(smallHolding+1), int64(room-room/keptParts-16*lingerCost); most != want {
		t.Errorf("large holdings may use %d bytes, want %d", most, want)
	}
	last, _ := refusedClient(t, guard)
	for guard.used+connectionCost <= room {
		connOf(t, guard, handling, 0, 0)
	}
	_ = last.Close()
	guard.forget(last)
	if guard.lingers() != 17 || guard.used > room {
		t.Errorf("%d linger, %d of %d bytes are reserved; want 17", guard.lingers(), guard.used, room)
	}
	for range 2 {
		connOf(t, guard, handling, 0, 0)
	}
	if left := guard.lingers(); left < 17-2*connectionCost/lingerCost || left == 17 {
		t.Errorf("%d of 17 linger after two connections found no room", left)
	}
}
