package scheduling

import (
	"cmp"
	"iter"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Outline is the part of a Candidate that is cheap to determine and that a shortlist is made
// from.
type Outline struct {
	ID      string
	Prefill bool
	// Software and Draining are as in Candidate.
	Software string
	Draining bool
	// SameZone, SortKey and Hash are as in Candidate.
	SameZone      bool
	SortKey, Hash uint64
	// Sound tells that nothing counts against the worker, as Candidate.sound does.
	Sound bool
	// Tracked tells that this node tracks the worker's load.
	Tracked bool
	// score is the worker's rendezvous score for the request's content.
	score uint64
}

// Shortlist returns the IDs of the workers among which Preselect chooses, without all others.
// In a fleet of thousands Preselect looks at about a dozen workers. Describing and sorting all
// of them for each request took 94 ms of a core at 9,695 workers, a shortlist takes 1.9 ms
// (BenchmarkPreselectOfAll, BenchmarkShortlist).
func Shortlist(request Request, workers iter.Seq[Outline]) []string {
	readers, others := newStageList(request, contentChoices*widenFactor), newStageList(request, 0)
	for worker := range workers {
		if !request.admits(worker) {
			continue
		}
		if worker.Prefill {
			readers.add(worker)
		} else {
			others.add(worker)
		}
	}
	return slices.Concat(readers.names(), others.names())
}

// nearChoices is the largest number of workers that Preselect takes by nearness (byNearness).
const nearChoices = widenFactor * max(nearReaders, readersWithoutContent, runnerChoices)

// stageList is the shortlist of one stage: the sound workers, or the others if there are none.
type stageList struct {
	failed         map[string]bool
	sound, unsound selection
}

func newStageList(request Request, contents int) *stageList {
	if request.Content == 0 {
		contents = 0
	}
	list := &stageList{failed: request.Failed}
	for _, chosen := range []*selection{&list.sound, &list.unsound} {
		chosen.content, chosen.contents = request.Content, contents
	}
	return list
}

func (l *stageList) add(worker Outline) {
	if worker.Sound && !l.failed[worker.ID] {
		l.sound.add(worker)
	} else {
		l.unsound.add(worker)
	}
}

func (l *stageList) names() []string {
	if l.sound.empty() {
		return l.unsound.names()
	}
	return l.sound.names()
}

// selection holds the first workers in each of the orders by which Preselect chooses.
type selection struct {
	content  uint64
	contents int
	tracked  []Outline
	// near are the first of the workers that this node does not track, by nearness, and
	// atContent those workers at which all nodes look for the content.
	near, atContent []Outline
}

func (s *selection) empty() bool { return len(s.tracked)+len(s.near) == 0 }

func (s *selection) add(worker Outline) {
	if worker.Tracked {
		s.tracked = append(s.tracked, worker)
	} else {
		s.near = insert(s.near, worker, nearChoices, byNearness)
	}
	if s.contents > 0 {
		worker.score = rendezvous.Score(s.content, worker.Hash)
		s.atContent = insert(s.atContent, worker, s.contents, byScore)
	}
}

func (s *selection) names() []string {
	var names []string
	for _, worker := range slices.Concat(s.tracked, s.near, s.atContent) {
		if !slices.Contains(names, worker.ID) {
			names = append(names, worker.ID)
		}
	}
	return names
}

// byNearness orders workers as Preselect does: those in the node's zone first, then by their
// sort key, which differs from node to node.
func byNearness(left, right Outline) int {
	if left.SameZone != right.SameZone {
		if left.SameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(left.SortKey, right.SortKey)
}

func byScore(left, right Outline) int { return cmp.Compare(right.score, left.score) }

// insert adds a worker to the first count workers in an order, if it is one of them.
func insert(first []Outline, added Outline, count int, order func(left, right Outline) int) []Outline {
	if len(first) >= count {
		if order(added, first[count-1]) >= 0 {
			return first
		}
		first = first[:count-1]
	}
	place, _ := slices.BinarySearchFunc(first, added, order)
	return slices.Insert(first, place, added)
}
