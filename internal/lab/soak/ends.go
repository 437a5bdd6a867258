package soak

import (
	"context"
	"fmt"
	"time"
)

// maxEndDelay bounds the random time from a release to the end of all nodes, and minDown is how long these are down
// at least.
const (
	maxEndDelay = 600 * time.Millisecond
	minDown     = 100 * time.Millisecond
)

// endAllAroundARelease starts engines of one software version, kills all nodes, ends the engines of one version while
// they are down, and starts the nodes.
func (s *site) endAllAroundARelease(ctx context.Context, length time.Duration) string {
	old := s.randomEngine()
	if old == nil {
		return "no version was released"
	}
	options := old.options
	options.Software = softwareVersions[s.random.IntN(len(softwareVersions))]
	for range 2 {
		options.ID = fmt.Sprintf("%s-release-%d", options.Service, s.releases.next())
		if err := s.addWorker(options); err != nil {
			return err.Error()
		}
	}
	sleep(ctx, time.Duration(s.random.Int64N(int64(maxEndDelay))))
	begun := time.Now()
	for _, node := range s.nodes {
		node.Kill()
	}
	retired := softwareVersions[s.random.IntN(len(softwareVersions))]
	ended := s.endVersion(retired)
	sleep(ctx, max(length/4, minDown))
	for _, node := range s.nodes {
		_ = node.Start()
		s.recordNodeFault(node.Name, begun, time.Now())
	}
	return fmt.Sprintf("released %s, killed all nodes, ended %d engines of %s while they were down", options.Software, ended, retired)
}

// minEngines is how many decode engines are left: one of them may announce its end.
const minEngines = 2

// endVersion ends the decode engines of a software version, with their entries, and returns how many.
func (s *site) endVersion(software string) int {
	ended := 0
	for _, worker := range s.runningWorkers() {
		if worker.options.Stage != "decode" || worker.options.Software != software || len(s.decoding()) <= minEngines {
			continue
		}
		s.end(worker)
		s.store.Put("servers", worker.ID(), nil)
		ended++
	}
	return ended
}
