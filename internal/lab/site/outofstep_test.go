package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/lab/linkcut"
	"github.com/tinarch/tinarch/internal/lab/soak"
	"github.com/tinarch/tinarch/internal/serving"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/workerconn"
	"github.com/tinarch/tinarch/platform"
)

// nodeSettings names the environment variable that makes the test binary run a node, with the settings
// that it holds, in place of the tests.
const nodeSettings = "TINARCH_TEST_NODE"

// runNode runs a node until the test has ended.
func runNode(encoded string) {
	var configured settings.Routed
	if err := json.Unmarshal([]byte(encoded), &configured); err != nil {
		panic(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	adapter := platform.New(platform.Options{Store: configured.Store.Address, Dial: workerconn.DialStore})
	node, err := serving.Start(configured, adapter, log)
	if err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	node.Close()
	os.Exit(0)
}

// straggler is a node that a test makes fall out of step with two others.
type straggler struct {
	address string
	// stop makes it fall out of step, and resume ends that.
	stop, resume func()
}

// isolation is a way to fall out of step.
type isolation string

const (
	cutFromNodes isolation = "cut off from the other nodes"
	cutFromStore isolation = "cut off from the store"
	cutFromBoth  isolation = "cut off from the other nodes and the store"
	paused       isolation = "paused"
)

// startWithStraggler starts two nodes and a straggler before engines of v1. Unless it is to be paused, the straggler is
// designated or not as wanted.
func startWithStraggler(t *testing.T, by isolation, designated bool) (*site, *straggler) {
	t.Helper()
	s := newSite(t)
	s.addWorker(fleetworker.Options{ID: "read-1", Service: llm, Stage: "prefill", Software: "v1"})
	s.release("v1")
	s.store.Put("op", "config", versionsConfiguration(1))
	addresses := nodeAddresses()
	links := []*soak.Proxy{s.startStoreLink()}
	s.startLinkedNode(addresses[0], links[0])
	links = append(links, s.startStoreLink())
	s.startLinkedNode(addresses[1], links[1])
	var odd *straggler
	if by == paused {
		odd = s.startPausable(addresses[2])
	} else {
		links = append(links, s.startStoreLink())
		s.startLinkedNode(addresses[2], links[2])
	}
	for _, other := range s.others {
		s.await("all nodes know each other", func() bool { return other.node.Nodes() == 3 && other.node.Workers() == len(s.workers) })
	}
	s.await("the version is in the store", func() bool { return s.shown("v1") })
	if odd == nil {
		odd = s.chooseStraggler(by, designated, addresses, links)
	}
	return s, odd
}

// stragglerSites counts the sites of this process, whose nodes have addresses of their own: cuts tell nodes apart
// by them.
var stragglerSites atomic.Uint32

func nodeAddresses() linkcut.Nodes {
	number := stragglerSites.Add(1)
	address := func(last byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(number), last}) }
	return linkcut.Nodes{address(1), address(2), address(3)}
}

// startStoreLink starts a link of a node to the store.
func (s *site) startStoreLink() *soak.Proxy {
	s.t.Helper()
	link, err := soak.StartProxy(s.store.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(link.Close)
	return link
}

func linkedSettings(address netip.Addr, store string) func(*settings.Routed) {
	return func(configured *settings.Routed) {
		connectsFromAddress(address)(configured)
		configured.Node.FirstStart, configured.Store.Address = true, store
	}
}

func (s *site) startLinkedNode(address netip.Addr, link *soak.Proxy) {
	s.t.Helper()
	node, callers := s.startNode("node-"+address.String(), linkedSettings(address, link.Address()))
	s.others = append(s.others, &otherNode{node, callers})
	s.await("the node is ready", node.Ready)
}

// chooseStraggler makes one of the nodes the straggler, and leaves the others in s.others.
func (s *site) chooseStraggler(by isolation, designated bool, addresses linkcut.Nodes, links []*soak.Proxy) *straggler {
	s.t.Helper()
	at := -1
	s.await("one node is designated", func() bool {
		at = slices.IndexFunc(s.others, func(n *otherNode) bool { return n.node.Designated() == designated })
		return at >= 0
	})
	chosen, address, link := s.others[at], addresses[at], links[at]
	others := slices.Delete(slices.Clone(addresses), at, at+1)
	s.others = slices.Delete(s.others, at, at+1)
	cut := func() {
		if by != cutFromStore {
			others.CutFrom(address)
		}
		if by != cutFromNodes {
			link.SetMode(soak.Silent)
		}
	}
	restore := func() {
		others.RestoreTo(address)
		link.SetMode(soak.Pass)
	}
	return &straggler{address: chosen.address, stop: cut, resume: restore}
}

// startPausable starts the straggler as a process of its own.
func (s *site) startPausable(address netip.Addr) *straggler {
	s.t.Helper()
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: "straggler", Zone: "a"}
	configured.Listen = settings.RoutedListen{
		Callers: freePort(s.t), Readiness: freePort(s.t), Exchange: freePort(s.t), Metrics: freePort(s.t),
	}
	linkedSettings(address, s.store.Address())(&configured)
	encoded, err := json.Marshal(configured)
	if err != nil {
		s.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env, command.Stderr = append(os.Environ(), nodeSettings+"="+string(encoded)), os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	signal := func(signal syscall.Signal) func() { return func() { _ = command.Process.Signal(signal) } }
	s.t.Cleanup(func() { signal(syscall.SIGCONT)(); _ = stdin.Close(); _ = command.Wait() })
	s.await("the straggler is ready", func() bool {
		response, err := http.Get("http://" + configured.Listen.Readiness + platform.New(platform.Options{}).ReadinessPath())
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return &straggler{address: configured.Listen.Callers, stop: signal(syscall.SIGSTOP), resume: signal(syscall.SIGCONT)}
}

// firstBorn is when the engines of the first version started, in Unix milliseconds.
const firstBorn = 1764731647000

func engineOf(id, version string) fleetworker.Options {
	return fleetworker.Options{
		ID: id, Service: llm, Stage: "decode", Software: version, Born: firstBorn, Events: 8, Pause: 20 * time.Millisecond, Slots: 64, Zone: "a",
	}
}

// release adds two decode engines of a software version.
func (s *site) release(version string) {
	for _, name := range []string{"a", "b"} {
		s.addWorker(engineOf("write-"+version+"-"+name, version))
	}
}

// upgrade restarts the decode engines of a software version at another one, under their names and addresses.
func (s *site) upgrade(from, to string) {
	for _, name := range []string{"write-" + from + "-a", "write-" + from + "-b"} {
		engine := engineOf(name, to)
		engine.Address, engine.Born = s.workers[name].Address(), firstBorn+5000
		s.workers[name].Close()
		again := fleetworker.Start(engine)
		s.t.Cleanup(again.Close)
		s.workers[name] = again
		s.store.Put("servers", name, again.Entry("ready"))
	}
}

// retire removes the decode engines of a software version from the list.
func (s *site) retire(version string) {
	for _, name := range []string{"write-" + version + "-a", "write-" + version + "-b"} {
		s.store.Put("servers", name, nil)
		delete(s.workers, name)
	}
}

// shown reports whether the store shows a software version to streams.
func (s *site) shown(version string) bool {
	rows := s.store.Rows("streams")
	return len(rows) > 0 && strings.Contains(string(rows[0].Value), `"`+version+`"`)
}

// beginAtVersion begins streams at the nodes other than the straggler until as many hold events of a
// software version.
func (s *site) beginAtVersion(version string) []*clientStream {
	s.t.Helper()
	var streams []*clientStream
	s.await("streams begin at "+version, func() bool {
		begun := make([]*clientStream, streamsOfAVersion)
		var all sync.WaitGroup
		for i := range begun {
			begun[i] = &clientStream{part: s.nextID()} // no engine has it in its cache
			all.Go(func() { s.read(begun[i], s.others[i%len(s.others)].address, "/check/1", 2) })
		}
		all.Wait()
		streams = append(streams, slices.DeleteFunc(begun, func(c *clientStream) bool { return !slices.Contains(c.versions, version) })...)
		return len(streams) >= streamsOfAVersion
	})
	return streams
}

// TestStreamsBeginAtANewVersionWhileTheDesignatedNodeIsOutOfStep guards against a designated node that can't write to
// the store and stays designated, so that a version without recorded streams gets none.
func TestStreamsBeginAtANewVersionWhileTheDesignatedNodeIsOutOfStep(t *testing.T) {
	for _, by := range []isolation{cutFromNodes, cutFromStore, cutFromBoth} {
		t.Run(string(by), func(t *testing.T) {
			t.Parallel()
			s, odd := startWithStraggler(t, by, true)
			odd.stop()
			s.upgrade("v1", "v2")
			s.beginAtVersion("v2")
		})
	}
}

// TestNoStreamIsJoinedAtANodeOutOfStep guards against a node that takes its own old list of workers for proof that a
// stream began at the version which it knows.
func TestNoStreamIsJoinedAtANodeOutOfStep(t *testing.T) {
	for _, by := range []isolation{cutFromNodes, cutFromStore, cutFromBoth, paused} {
		for _, designated := range []bool{false, true} {
			for _, how := range []rolloutKind{versionJoins, versionJoinsAndLeaves, versionReplaces} {
				t.Run(fmt.Sprintf("%s, designated %v, %s", by, designated, how), func(t *testing.T) {
					t.Parallel()
					playOutOfStep(t, by, designated, how)
				})
			}
		}
	}
}

// rolloutKind is how a new software version comes.
type rolloutKind string

const (
	versionJoins          rolloutKind = "new engines join"
	versionJoinsAndLeaves rolloutKind = "new engines join and leave"
	versionReplaces       rolloutKind = "engines restart under their names"
)

func playOutOfStep(t *testing.T, by isolation, designated bool, how rolloutKind) {
	s, odd := startWithStraggler(t, by, designated)
	before := s.beginAtVersion("v1")
	s.takeUpAll(copies(before, false), odd.address, "/check/1") // the node asks the store
	var taken sync.WaitGroup
	for _, c := range copies(before, false) {
		taken.Go(func() { s.read(c, odd.address, "/check/1", 1) })
	}
	odd.stop()
	if how == versionReplaces {
		s.upgrade("v1", "v2")
	} else {
		s.release("v2")
	}
	streams := s.beginAtVersion("v2")
	if how == versionJoinsAndLeaves {
		s.retire("v2")
	}
	begun := slices.Concat(streams, before)
	during := slices.Concat(copies(begun, true), copies(begun, false))
	later := slices.Concat(copies(begun, true), copies(begun, false))
	for _, c := range during {
		taken.Go(func() { s.read(c, odd.address, "/check/1", 1) })
	}
	time.Sleep(500 * time.Millisecond)
	odd.resume()
	for _, c := range later {
		taken.Go(func() { s.read(c, odd.address, "/check/1", 1) })
	}
	taken.Wait()
	s.checkJoined(slices.Concat(during, later))
	var served []*clientStream
	if how != versionJoinsAndLeaves {
		served = append(served, streams...)
	}
	if how != versionReplaces {
		served = append(served, before...)
	}
	for _, c := range served {
		s.await("the stream goes on", func() bool {
			s.takeUp(c, odd.address, "/check/1")
			return c.events >= 8
		})
	}
	s.checkJoined(served)
}

// copies returns copies of streams, whose callers name the attempts that began them or not.
func copies(streams []*clientStream, named bool) []*clientStream {
	var all []*clientStream
	for _, c := range streams {
		copied := *c
		if !named {
			copied.first = ""
		}
		all = append(all, &copied)
	}
	return all
}
