package site

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// engineAddress names the environment variable that makes the test binary run an engine, at the
// address that it holds, in place of the tests.
const engineAddress = "TINARCH_TEST_ENGINE"

const (
	killedEngine = "write-killed"
	longStream   = 200
	eventPause   = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	if address := os.Getenv(engineAddress); address != "" {
		runEngine(address)
	}
	if encoded := os.Getenv(nodeSettings); encoded != "" {
		runNode(encoded)
	}
	os.Exit(m.Run())
}

// runEngine runs an engine whose streams are unframed until the process is killed.
func runEngine(address string) {
	engine := fleetworker.Start(fleetworker.Options{
		ID: killedEngine, Service: llm, Zone: "a", Stage: "decode", Events: longStream, Pause: eventPause, Address: address,
	})
	engine.SetDeliveries(fleetworker.NewDeliveries(fleetworker.Delivery{Framing: fleetworker.ByClose, Sent: math.MaxInt}, -1))
	_, _ = io.Copy(io.Discard, os.Stdin) // the test has ended
	os.Exit(0)
}

// startEngineProcess starts an engine as a process of its own and lists it.
func (s *site) startEngineProcess() *os.Process {
	s.t.Helper()
	address := freePort(s.t)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), engineAddress+"="+address)
	stdin, err := command.StdinPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = stdin.Close(); _ = command.Wait() })
	s.await("the engine answers", func() bool {
		response, err := http.Get("http://" + address + fleetworker.HealthPath)
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	})
	s.store.Put("servers", killedEngine, map[string]any{
		"Service": llm, "Address": address, "Zone": "a", "Version": "v1", "Slots": 16, "State": "ready",
		"ColdRemainingMs": 0, "Seq": 1, "Stage": "decode", "Models": []map[string]any{{"Name": "m", "Version": 1}},
	})
	return command.Process
}

// TestStreamsOfAKilledEngineAreNotEndedInOrder: the kernel closes a killed engine's connections in order, between events.
func TestStreamsOfAKilledEngineAreNotEndedInOrder(t *testing.T) {
	s := startUnconfigured(t)
	s.addWorker(fleetworker.Options{ID: "read-1", Service: llm, Stage: "prefill"})
	engine := s.startEngineProcess()
	s.store.Put("op", "config", configuration(1))
	s.await("the node knows both engines", func() bool { return s.node.Ready() && s.node.Workers() == 2 })
	const streams = 8
	var begun, ended sync.WaitGroup
	begun.Add(streams)
	for number := range streams {
		request := s.request(http.MethodPost, fmt.Sprint("/verdict/", number), "x")
		ended.Go(func() {
			response, err := (&http.Transport{}).RoundTrip(request)
			if err != nil {
				begun.Done()
				t.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadFull(response.Body, make([]byte, eventBytes))
			begun.Done()
			rest, readErr := io.ReadAll(response.Body)
			if err != nil || readErr == nil {
				t.Errorf("%d bytes after the first event ended with %v, %v", len(rest), err, readErr)
			}
		})
	}
	begun.Wait()
	if err := engine.Kill(); err != nil {
		t.Fatal(err)
	}
	ended.Wait()
}
