package site

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

// otherLLM is a second service of engines, to which the route /split/ leads too.
const otherLLM = "other-llm"

// streamsOfAVersion is how many streams a case sends: placed without regard to versions, half of
// them would go on at another one.
const streamsOfAVersion = 12

// startVersions starts a site of three nodes before two decode engines of each version of a
// service, and of one version of another service.
func startVersions(t *testing.T, versions ...string) *site {
	t.Helper()
	s := startUnconfiguredWith(t, func(configured *settings.Routed) { configured.Node.FirstStart = true })
	s.addWorker(fleetworker.Options{ID: "read-1", Service: llm, Stage: "prefill", Software: versions[0]})
	for _, version := range versions {
		for _, name := range []string{"a", "b"} {
			s.addWorker(fleetworker.Options{
				ID: "write-" + version + "-" + name, Service: llm, Stage: "decode", Software: version,
				Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
			})
		}
	}
	s.addWorker(fleetworker.Options{
		ID: "other-1", Service: otherLLM, Stage: "decode", Software: versions[0] + "-other", Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
	})
	s.store.Put("op", "config", versionsConfiguration(1))
	s.await("the node is ready", s.node.Ready)
	s.addNodes("node-2", "node-3")
	for _, node := range append(s.others, &otherNode{node: s.node}) {
		s.await("all workers and nodes are known", func() bool { return node.node.Workers() == len(s.workers) && node.node.Nodes() == 3 })
	}
	return s
}

// versionsConfiguration is a configuration whose route /split/ leads to two services alike.
func versionsConfiguration(version int) map[string]any {
	configured := configuration(version)
	configured["Routes"] = append(configured["Routes"].([]any), map[string]any{
		"Name": "split", "Host": host, "PathPrefix": "/split/", "Kind": "streaming", "MaxAttempts": 2, "Resumable": true,
		"TimeoutMs": 8000, "TargetLatencyMs": 4000, "Priority": 1,
		"Split": []any{map[string]any{"Service": llm, "Weight": 1}, map[string]any{"Service": otherLLM, "Weight": 1}},
	})
	configured["Services"] = append(configured["Services"].([]any),
		map[string]any{"Name": otherLLM, "MaxConnections": 100, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 100000}})
	return configured
}

// movedConfiguration is a configuration whose route /check/ leads to the other service.
func movedConfiguration(version int) map[string]any {
	configured := versionsConfiguration(version)
	for _, route := range configured["Routes"].([]any) {
		if fields := route.(map[string]any); fields["Name"] == "check" {
			fields["Service"] = otherLLM
		}
	}
	return configured
}

// clientStream is what a client has of a stream over its tries.
type clientStream struct {
	// first is the id of the try that brought the first event, and last the id of the last event.
	first, last string
	// versions are the software versions whose events the client has, each once.
	versions []string
	events   int
	status   int
	// part is the part of the prompt that streams share, "aa" if it is empty.
	part string
}

// begin sends a stream to a node and reads some of its events, all if count is zero.
func (s *site) begin(address, path string, count int) *clientStream {
	s.t.Helper()
	c := &clientStream{}
	s.read(c, address, path, count)
	return c
}

// takeUp makes the client go on with a stream at a node.
func (s *site) takeUp(c *clientStream, address, path string) {
	s.t.Helper()
	s.read(c, address, path, 0)
}

// read sends a try of a client's stream and reads up to count of its events, all if it is zero.
func (s *site) read(c *clientStream, address, path string, count int) {
	s.t.Helper()
	request := s.requestAt(address, http.MethodPost, path, "")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "3000,20")
	request.Header.Set("X-Prompt-Prefix", cmp.Or(c.part, "aa")+":2000,"+request.Header.Get("X-Request-Id")+":1000")
	if c.last != "" {
		request.Header.Set("Last-Event-Id", c.last)
	}
	if c.first != "" {
		request.Header.Set("Resumes", c.first)
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		c.status = 0
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	if c.status != http.StatusOK {
		return
	}
	for lines, read := bufio.NewScanner(response.Body), 0; lines.Scan(); {
		if version, found := strings.CutPrefix(lines.Text(), fleetworker.SoftwareField); found && !slices.Contains(c.versions, version) {
			c.versions = append(c.versions, version)
		}
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			c.last = id
			if c.first == "" {
				c.first = request.Header.Get("X-Request-Id")
			}
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			c.events++
			if read++; read == count {
				return
			}
		}
	}
}

// checkJoined fails the test if a client has events of more than one version.
func (s *site) checkJoined(streams []*clientStream) {
	s.t.Helper()
	joined := 0
	for _, c := range streams {
		if len(c.versions) > 1 {
			joined++
		}
	}
	if joined > 0 {
		s.t.Errorf("%d of %d streams hold events of several versions", joined, len(streams))
	}
}

// checkWhole fails the test if a client has no complete stream.
func (s *site) checkWhole(streams []*clientStream) {
	s.t.Helper()
	for i, c := range streams {
		if c.status != http.StatusOK || c.events != 8 {
			s.t.Errorf("stream %d ended with status %d after %d of 8 events", i, c.status, c.events)
		}
	}
}

func TestStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	t.Run("in one answer", func(t *testing.T) {
		s := startVersions(t, "v1", "v2")
		s.workers["write-v1-a"].SetFault(fleetworker.CutMidway, streamsOfAVersion)
		s.workers["write-v2-a"].SetFault(fleetworker.CutMidway, streamsOfAVersion)
		s.checkJoined(s.beginAll("/check/1", 0))
		if !strings.Contains(s.logText(), `"try failed"`) {
			t.Error("no stream broke off")
		}
	})
	t.Run("taken up at the same node", func(t *testing.T) {
		s := startVersions(t, "v1", "v2")
		streams := s.beginAll("/check/1", 2)
		s.takeUpAll(streams, s.address, "/check/1")
		s.checkWhole(streams)
	})
	t.Run("taken up at another node", func(t *testing.T) {
		s := startVersions(t, "v1", "v2")
		streams := s.beginAll("/check/1", 2)
		s.takeUpAll(streams, s.others[0].address, "/check/1")
		s.checkWhole(streams)
	})
	t.Run("taken up after its node has ended", func(t *testing.T) {
		s := startVersions(t, "v1", "v2")
		streams := s.beginAll("/check/1", 4)
		s.node.Close()
		s.takeUpAll(streams, s.others[0].address, "/check/1")
		s.checkWhole(streams)
	})
	t.Run("of a service that the route is split to", func(t *testing.T) {
		s := startVersions(t, "v1")
		streams := s.beginAll("/split/1", 2)
		s.takeUpAll(streams, s.others[0].address, "/split/1")
		s.checkWhole(streams)
	})
	t.Run("whose workers have left", func(t *testing.T) {
		s := startVersions(t, "v1", "v2")
		streams := s.beginAll("/check/1", 2)
		for _, name := range []string{"write-v1-a", "write-v1-b", "read-1"} {
			s.store.Put("servers", name, s.workers[name].Entry("draining"))
		}
		time.Sleep(2 * time.Second) // they get nothing more
		begun := make([]string, 0, len(streams))
		for _, c := range streams {
			begun = append(begun, c.versions[0])
		}
		s.takeUpAll(streams, s.others[0].address, "/check/1")
		for i, c := range streams {
			if begun[i] == "v1" && c.status != http.StatusServiceUnavailable {
				t.Errorf("a stream of v1 was answered %d", c.status)
			}
		}
	})
}

// beginAll begins streams at the first node at once, and reads some events of each, all if count is
// zero.
func (s *site) beginAll(path string, count int) []*clientStream {
	s.t.Helper()
	streams := make([]*clientStream, streamsOfAVersion)
	var begun sync.WaitGroup
	for i := range streams {
		begun.Go(func() { streams[i] = s.begin(s.address, path, count) })
	}
	begun.Wait()
	for i, c := range streams {
		if len(c.versions) == 0 {
			s.t.Fatalf("stream %d was answered %d without an event", i, c.status)
		}
	}
	return streams
}

// takeUpAll goes on with streams at a node at once, and fails the test if one of them then holds
// events of several versions.
func (s *site) takeUpAll(streams []*clientStream, address, path string) {
	s.t.Helper()
	var taken sync.WaitGroup
	for _, c := range streams {
		taken.Go(func() { s.takeUp(c, address, path) })
	}
	taken.Wait()
	s.checkJoined(streams)
}

func TestStreamWhoseVersionIsGoneBreaksOffBeforeItsDeadline(t *testing.T) {
	s := startVersions(t, "v1", "v2")
	s.store.Put("servers", "write-v1-b", nil)
	s.store.Put("servers", "write-v2-b", nil)
	s.await("two engines have left", func() bool { return s.node.Workers() == len(s.workers)-2 })
	time.Sleep(1500 * time.Millisecond) // they get nothing more
	s.workers["write-v1-a"].SetFault(fleetworker.CutMidway, -1)
	s.workers["write-v2-a"].SetFault(fleetworker.CutMidway, -1)
	s.checkJoined(s.beginAll("/check/1", 0))
	lines := s.logLinesWith(`"not answered"`)
	if broken := strings.Count(lines, "code=3002"); broken != streamsOfAVersion {
		t.Errorf("%d of %d streams broke off with 3002:\n%s", broken, streamsOfAVersion, lines)
	}
}

func TestStreamThatNobodyKnowsIsRefusedWhereSeveralVersionsServe(t *testing.T) {
	s := startVersions(t, "v1", "v2")
	for name, c := range map[string]*clientStream{
		"an attempt that nobody knows": {first: "ffffffffffffffff", last: "2"},
		"no attempt named":             {last: "2"},
	} {
		s.takeUp(c, s.address, "/check/1")
		if c.status != http.StatusServiceUnavailable || c.events > 0 {
			t.Errorf("%s: answered %d with %d events", name, c.status, c.events)
		}
	}
	for _, worker := range s.workers {
		if runs := worker.Runs(); len(runs) > 0 {
			t.Errorf("%s ran %d requests that were refused as not run", worker.ID(), len(runs))
		}
	}
}

func TestStreamIsTakenUpAgainAndAgain(t *testing.T) {
	s := startVersions(t, "v1", "v2")
	streams := s.beginAll("/check/1", 2)
	for _, node := range append(s.others, &otherNode{address: s.address}) {
		var taken sync.WaitGroup
		for _, c := range streams {
			taken.Go(func() { s.read(c, node.address, "/check/1", 2) })
		}
		taken.Wait()
	}
	s.checkJoined(streams)
	s.checkWhole(streams)
}

// The list still tells the version of the process before.
func TestWorkerThatRestartsAtAnotherVersionUnderItsNameGetsNoStream(t *testing.T) {
	s := startUnconfiguredWith(t, func(*settings.Routed) {})
	engine := fleetworker.Options{
		ID: "write-1", Service: llm, Stage: "decode", Software: "v1", Born: 1764731647000, Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
	}
	s.addWorker(engine)
	s.store.Put("op", "config", versionsConfiguration(1))
	s.await("the node is ready", s.node.Ready)
	s.await("the engine is known", func() bool { return s.node.Workers() == 1 })
	streams := s.beginAll("/check/1", 2)
	engine.Address, engine.Software, engine.Born, engine.Zone = s.workers["write-1"].Address(), "v2", engine.Born+5000, "a"
	s.workers["write-1"].Close()
	again := fleetworker.Start(engine)
	t.Cleanup(again.Close)
	s.takeUpAll(streams, s.address, "/check/1")
	for _, c := range streams {
		if c.status == http.StatusOK {
			t.Errorf("a stream of v1 goes on with %d events of %v", c.events, c.versions)
		}
	}
	if runs := again.Runs(); len(runs) != 0 {
		t.Errorf("the new process ran %d requests that were meant for the one before", len(runs))
	}
	s.workers["write-1"] = again
	s.store.Put("servers", "write-1", again.Entry("ready"))
	s.await("the new process serves", func() bool {
		c := s.begin(s.address, "/check/1", 0)
		return c.status == http.StatusOK && c.versions[0] == "v2"
	})
}

// TestEngineThatDoesNotTellItsStartGetsNoStream guards against streams at a process that can't be told from the one in
// the list, since its answer about itself is broken.
func TestEngineThatDoesNotTellItsStartGetsNoStream(t *testing.T) {
	s, w := startRaw(t, directly)
	entry := w.entry(llm)
	entry["born"] = firstBorn
	s.store.Put("servers", rawWorkerID(llm), entry)
	state := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	told := state("200 OK", fmt.Sprintf(`{"born":%d}`, firstBorn))
	w.answer(rawAnswer{bytes: soundAnswer.bytes, readBytes: 1})
	for name, answer := range map[string]string{
		"not found":     state("404 Not Found", ""),
		"in trouble":    state("503 Service Unavailable", fmt.Sprintf(`{"born":%d}`, firstBorn)),
		"no field":      state("200 OK", "{}"),
		"no JSON":       state("200 OK", "born"),
		"a text":        state("200 OK", fmt.Sprintf(`{"born":"%d"}`, firstBorn)),
		"another start": state("200 OK", fmt.Sprintf(`{"born":%d}`, firstBorn+1)),
	} {
		w.setState(told)
		s.await("the engine that tells its start gets streams", func() bool { return s.ask(http.MethodPost, "/check/1", nil, "x").status == http.StatusOK })
		w.setState(answer)
		before := w.run.Load()
		if got := s.ask(http.MethodPost, "/check/1", nil, "x"); got.status != http.StatusServiceUnavailable || w.run.Load() != before {
			t.Errorf("%s: answered %d, ran %d times", name, got.status, w.run.Load()-before)
		}
	}
}

func TestStreamGoesOnAtADrainingWorkerOfItsVersionForAMoment(t *testing.T) {
	s := startVersions(t, "v1", "v2")
	streams := s.beginAll("/check/1", 2)
	draining := []string{"write-v1-a", "write-v1-b"}
	for _, name := range draining {
		s.store.Put("servers", name, s.workers[name].Entry("draining"))
	}
	node := s.others[0]
	s.await("the node knows who drains", func() bool { return node.node.Draining() == len(draining) })
	s.takeUpAll(streams, node.address, "/check/1")
	s.checkWhole(streams)
	for range streamsOfAVersion {
		if c := s.begin(node.address, "/check/1", 0); len(c.versions) != 1 || c.versions[0] != "v2" {
			t.Errorf("a stream began at %v, whose workers drain (status %d)", c.versions, c.status)
		}
	}
}

// restartAll ends all nodes and starts another one, which remembers nothing.
func (s *site) restartAll() {
	s.t.Helper()
	s.node.Close()
	for _, other := range s.others {
		other.node.Close()
	}
	s.others = nil
	s.node, s.address = s.startNode("node-4", func(*settings.Routed) {})
	s.await("the new node is ready", s.node.Ready)
}

func TestStreamOfTheOnlyVersionGoesOnAfterAllNodesWereRestarted(t *testing.T) {
	s := startVersions(t, "v1")
	streams := s.beginAll("/check/1", 2)
	s.await("the version is in the store", func() bool { return len(s.store.Rows("streams")) > 0 })
	s.restartAll()
	s.takeUpAll(streams, s.address, "/check/1")
	s.checkWhole(streams)
}

func TestStreamIsRefusedAfterAllNodesWereRestartedIfItsRouteHasMoved(t *testing.T) {
	s := startVersions(t, "v1")
	streams := s.beginAll("/check/1", 2)
	s.await("the version is in the store", func() bool { return len(s.store.Rows("streams")) > 0 })
	s.node.Close()
	for _, other := range s.others {
		other.node.Close()
	}
	s.store.Put("op", "config", movedConfiguration(2))
	s.restartAll()
	s.takeUpAll(streams, s.address, "/check/1")
	for i, c := range streams {
		if c.status != http.StatusServiceUnavailable {
			t.Errorf("stream %d was answered %d", i, c.status)
		}
	}
}

func TestStreamIsRefusedAfterAllNodesWereRestartedIfAnotherVersionServedBefore(t *testing.T) {
	s := startVersions(t, "v1", "v2")
	streams := s.beginAll("/check/1", 2)
	s.await("both versions are in the store", func() bool {
		rows := s.store.Rows("streams")
		return len(rows) > 0 && strings.Contains(string(rows[0].Value), `"v1","v2"`)
	})
	for _, name := range []string{"write-v2-a", "write-v2-b"} {
		s.store.Put("servers", name, nil)
		delete(s.workers, name)
	}
	s.await("the engines are gone", func() bool { return s.node.Workers() == len(s.workers) })
	s.restartAll()
	s.takeUpAll(streams, s.address, "/check/1")
	for i, c := range streams {
		if c.status != http.StatusServiceUnavailable {
			t.Errorf("stream %d, of %v, was answered %d", i, c.versions, c.status)
		}
	}
}

// TestStreamIsRefusedAfterAllNodesWereRestartedIfItsVersionWasNew guards against streams of a version that came and
// left shortly before all nodes ended: nothing in the store showed it, so they went on at the version that was left.
func TestStreamIsRefusedAfterAllNodesWereRestartedIfItsVersionWasNew(t *testing.T) {
	s := startVersions(t, "v1")
	s.await("the version is in the store", func() bool { return len(s.store.Rows("streams")) > 0 })
	for _, name := range []string{"a", "b"} {
		s.addWorker(fleetworker.Options{
			ID: "write-v2-" + name, Service: llm, Stage: "decode", Software: "v2", Events: 8, Pause: 20 * time.Millisecond, Slots: 64,
		})
	}
	s.await("the new version is known", func() bool { return s.node.Workers() == len(s.workers) })
	streams := append(s.beginAll("/check/1", 2), s.beginAll("/check/1", 2)...)
	s.node.Close()
	for _, other := range s.others {
		other.node.Close()
	}
	for _, name := range []string{"write-v2-a", "write-v2-b"} {
		s.store.Put("servers", name, nil)
		delete(s.workers, name)
	}
	s.restartAll()
	time.Sleep(1500 * time.Millisecond) // the new node has written what it knows
	s.takeUpAll(streams, s.address, "/check/1")
}

// TestStreamIsRefusedAfterAllNodesWereRestartedIfItsRouteMovedThere guards against streams of a route that moved
// while all nodes were down: the first node that starts has not seen it move.
func TestStreamIsRefusedAfterAllNodesWereRestartedIfItsRouteMovedThere(t *testing.T) {
	s := startVersions(t, "v1")
	streams := s.beginAll("/check/1", 2)
	s.await("the version is in the store", func() bool { return len(s.store.Rows("streams")) > 0 })
	s.node.Close()
	for _, other := range s.others {
		other.node.Close()
	}
	s.store.Put("op", "config", movedConfiguration(2))
	before := string(s.store.Rows("streams")[0].Value)
	s.restartAll()
	s.await("the routes are in the store", func() bool { return string(s.store.Rows("streams")[0].Value) != before })
	s.await("streams begin there", func() bool {
		c := s.begin(s.address, "/check/1", 0)
		return c.status == http.StatusOK && c.versions[0] == "v1-other"
	})
	s.takeUpAll(streams, s.address, "/check/1")
	for i, c := range streams {
		if c.status != http.StatusServiceUnavailable {
			t.Errorf("stream %d was answered %d", i, c.status)
		}
	}
}

// TestStreamsBeginAtANewVersionOnlyOnceTheStoreShowsIt guards against streams at a version of which nothing tells
// after an end of all nodes, and against a version that is left out for longer than that.
func TestStreamsBeginAtANewVersionOnlyOnceTheStoreShowsIt(t *testing.T) {
	s := startVersions(t, "v1")
	shown := func(version string) bool {
		rows := s.store.Rows("streams")
		return len(rows) > 0 && strings.Contains(string(rows[0].Value), `"`+version+`"`)
	}
	s.await("the version is in the store", func() bool { return shown("v1") })
	for _, version := range []string{"v2", "v3"} {
		before := map[string]string{"v2": "v1", "v3": "v2"}[version]
		for _, name := range []string{"a", "b"} {
			s.addWorker(fleetworker.Options{
				ID: "write-" + version + "-" + name, Service: llm, Stage: "decode", Software: version, Events: 8, Slots: 64,
			})
			s.store.Put("servers", "write-"+before+"-"+name, nil)
			delete(s.workers, "write-"+before+"-"+name)
		}
		s.await("streams begin at "+version, func() bool {
			c := s.begin(s.address, "/check/1", 0)
			began := len(c.versions) > 0 && c.versions[0] == version
			if began && !shown(version) {
				t.Errorf("a stream began at %s before the store showed it", version)
			}
			return began
		})
	}
}
