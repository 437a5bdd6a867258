package site

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

const (
	// crowdNodes is the number of nodes, and crowdCallers that of the callers who come to one of them.
	crowdNodes   = 6
	crowdCallers = 72
	// crowdConnections is the limit of connections to one worker, over all nodes.
	crowdConnections = 30
	// refusedPause is the time after which a refused caller sends its next request.
	refusedPause = 20 * time.Millisecond
)

// startCrowd starts a site with crowdNodes nodes and four engines that take crowdConnections
// connections each and answer in 0.4 s.
func startCrowd(t *testing.T) *site {
	t.Helper()
	s := startUnconfiguredWith(t, func(configured *settings.Routed) { configured.Bounds.RetrySlack = 50 })
	for number := range 4 {
		s.addWorker(fleetworker.Options{
			ID: fmt.Sprint("write-", number+1), Service: llm, Stage: "decode", Slots: crowdConnections, Events: 4, Pause: 100 * time.Millisecond,
		})
	}
	config := configuration(1)
	for _, service := range config["Services"].([]any) {
		service.(map[string]any)["MaxConnections"] = crowdConnections
	}
	s.store.Put("op", "config", config)
	s.await("the node is ready", s.node.Ready)
	for number := 1; number < crowdNodes; number++ {
		s.addNodes(fmt.Sprint("node-", number+1))
	}
	s.awaitPeers()
	s.await("all workers are known", func() bool { return s.node.Workers() == len(s.workers) })
	return s
}

// crowd lets crowdCallers callers send requests for a time, each to the node that choose gives for its
// number. It returns how many of those that were sent after ignore were served.
func (s *site) crowd(ignore, span time.Duration, choose func(caller int) string) share {
	var served, sent atomic.Int64
	var callers sync.WaitGroup
	begun := time.Now()
	for caller := range crowdCallers {
		callers.Go(func() {
			for number := 0; time.Since(begun) < ignore+span; number++ {
				counted := time.Since(begun) >= ignore
				got := s.askAt(choose(caller), http.MethodPost, fmt.Sprint("/check/", caller, "/", number), nil, fmt.Sprint(caller, number))
				isServed := got.status == http.StatusOK && got.readErr == nil
				if counted {
					sent.Add(1)
				}
				if counted && isServed {
					served.Add(1)
				}
				if !isServed {
					s.t.Logf("%s: status %d, %v, %s", got.id, got.status, got.readErr, got.body)
					time.Sleep(refusedPause)
				}
			}
		})
	}
	callers.Wait()
	return share{served: int(served.Load()), sent: int(sent.Load())}
}

// mostConnections samples the connections that workers have open until stop is closed, and returns
// the most that one had.
func (s *site) mostConnections(stop <-chan struct{}) <-chan int {
	most := make(chan int, 1)
	go func() {
		seen := 0
		for {
			for _, worker := range s.workers {
				seen = max(seen, worker.Connections())
			}
			select {
			case <-stop:
				most <- seen
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return most
}

// TestNodeThatAllCallersComeToServesAsManyAsTheFleetDid guards against limits that are divided by
// the number of nodes: the shares of the nodes without callers are lost.
func TestNodeThatAllCallersComeToServesAsManyAsTheFleetDid(t *testing.T) {
	s := startCrowd(t)
	nodes := s.addresses()
	stop := make(chan struct{})
	connections := s.mostConnections(stop)
	spread := s.crowd(time.Second, 3*time.Second, func(caller int) string { return nodes[caller%len(nodes)] })
	one := s.crowd(contact, 3*time.Second, func(int) string { return nodes[0] })
	another := s.crowd(contact, 3*time.Second, func(int) string { return nodes[1] })
	s.others[len(s.others)-1].node.Close()
	lost := s.crowd(contact, 3*time.Second, func(int) string { return nodes[1] })
	nodes = nodes[:len(nodes)-1]
	back := s.crowd(contact, 3*time.Second, func(caller int) string { return nodes[caller%len(nodes)] })
	close(stop)
	most := <-connections
	t.Logf("served: %v spread over all nodes, %v at one, %v at another, %v there without the last node, %v spread again; %d connections to one worker at most", spread, one, another, lost, back, most)
	for name, got := range map[string]share{"at one node": one, "at another node": another, "there without the last node": lost, "spread again": back} {
		if 4*got.served*spread.sent < 3*spread.served*got.sent || 4*got.served < 3*spread.served {
			t.Errorf("%s %v requests are served, spread over all nodes %v", name, got, spread)
		}
	}
	if most > crowdConnections {
		t.Errorf("a worker had %d connections, want %d at most", most, crowdConnections)
	}
}
