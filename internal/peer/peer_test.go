package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/tinarch/tinarch/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct {
	Text string `json:"text"`
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startServer(t *testing.T, register func(*Server)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Identity{Cluster: "c", Node: "server"}, &Counters{}, quiet())
	register(server)
	server.Serve(listener, nil)
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func newTestClient(t *testing.T, cluster string) *Client {
	t.Helper()
	client := NewClient(Identity{Cluster: cluster, Node: "client"}, &Counters{}, nil)
	t.Cleanup(client.Close)
	return client
}

func serveEcho(s *Server) {
	Handle(s, "echo", func(_ context.Context, from Identity, request echo) (echo, error) {
		if request.Text == "fail" {
			return echo{}, result.New(result.QueueFull, "full")
		}
		return echo{Text: from.Node + " " + request.Text}, nil
	})
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	address := startServer(t, serveEcho)
	client := newTestClient(t, "c")
	var group sync.WaitGroup
	for i := range 200 {
		group.Add(1)
		go func() {
			defer group.Done()
			var answer echo
			if err := client.Call(context.Background(), address, "echo", echo{Text: fmt.Sprint(i)}, &answer); err != nil {
				t.Errorf("call %d: %v", i, err)
			}
			if want := fmt.Sprint("client ", i); answer.Text != want {
				t.Errorf("answer %q, want %q", answer.Text, want)
			}
		}()
	}
	group.Wait()
}

func TestErrorsKeepTheirCode(t *testing.T) {
	address := startServer(t, serveEcho)
	client := newTestClient(t, "c")
	if err := client.Call(context.Background(), address, "echo", echo{Text: "fail"}, nil); result.CodeOf(err) != result.QueueFull {
		t.Errorf("got error %v, want QueueFull", err)
	}
	if err := client.Call(context.Background(), address, "none", echo{}, nil); result.CodeOf(err) != result.PeerProtocol {
		t.Errorf("unknown method: %v", err)
	}
	if err := client.Call(context.Background(), address, "echo", 5, nil); result.CodeOf(err) != result.PeerProtocol {
		t.Errorf("wrong body: %v", err)
	}
}

func TestOtherClusterIsRefused(t *testing.T) {
	address := startServer(t, serveEcho)
	client := newTestClient(t, "other")
	if err := client.Call(context.Background(), address, "echo", echo{}, nil); result.CodeOf(err) != result.PeerUnavailable {
		t.Errorf("got error %v, want PeerUnavailable", err)
	}
}

func TestCancelReachesTheHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(s *Server) {
		Handle(s, "wait", func(ctx context.Context, _ Identity, _ echo) (echo, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return echo{}, ctx.Err()
		})
	})
	client := newTestClient(t, "c")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if err := client.Call(ctx, address, "wait", echo{}, nil); result.CodeOf(err) != result.PeerUnavailable {
		t.Errorf("got error %v, want PeerUnavailable", err)
	}
	<-ended
}

func TestMalformedLineEndsOnlyItsConnection(t *testing.T) {
	address := startServer(t, serveEcho)
	for _, garbage := range []string{"no json\n", "{\"type\":\"x\"}\n", "\n", "{\"type\":\"hello\"}\n"} {
		network, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = network.Write([]byte(garbage))
		_, _ = io.ReadAll(network) // the server closes
		_ = network.Close()
	}
	var answer echo
	if err := newTestClient(t, "c").Call(context.Background(), address, "echo", echo{Text: "x"}, &answer); err != nil {
		t.Errorf("the server stopped serving: %v", err)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"type":"request","id":1,"method":"m","body":{}}`))
	f.Add([]byte(`{"type":"hello","version":1,"hello":{"cluster":"c"}}`))
	f.Add([]byte(`{"type":"response","id":1,"error":{"code":2001}}`))
	f.Add([]byte("{\"type\":\"cancel\"}"))
	f.Add([]byte{0xff, '\n'})
	f.Fuzz(func(t *testing.T, line []byte) {
		decoded, err := decodeFrame(line)
		if err != nil {
			if result.CodeOf(err) != result.PeerProtocol {
				t.Fatalf("error without its code: %v", err)
			}
			return
		}
		encoded, err := encodeFrame(decoded)
		if err != nil {
			t.Fatalf("an accepted frame can't be encoded: %v", err)
		}
		if _, err := decodeFrame(encoded); err != nil {
			t.Fatalf("an encoded frame can't be decoded: %v", err)
		}
	})
}
