package scheduling

import (
	"cmp"
	"iter"
	"slices"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// Outline is what a shortlist is made by: what of a Candidate costs nothing to tell.
type Outline struct {
	ID      string
	Prefill bool
	// SameZone, Rank and Hash are as in Candidate.
	SameZone   bool
	Rank, Hash uint64
	// Sound tells that nothing speaks against the worker.
	Sound bool
	// Tracked tells that this node keeps account of the worker.
	Tracked bool
	// score is the worker's weight for the request's content.
	score uint64
}

// Shortlist names the workers among which Survey chooses, without all others: in a fleet of
// thousands of workers a survey looks at about a dozen, and to describe and sort all of them
// for each request took 94 ms of a core at 9,695 workers, and a shortlist takes 1.9 ms
// (BenchmarkSurveyOfAll, BenchmarkShortlist).
func Shortlist(request Request, workers iter.Seq[Outline]) []string {
	readers, others := newStageList(request, contentChoices*widened), newStageList(request, 0)
	for worker := range workers {
		if request.Excluded[worker.ID] {
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

// nearChoices is the most workers that a survey takes for their place in this node's order.
const nearChoices = widened * max(nearReaders, readersWithout, runnerChoices)

// stageList is the shortlist of one stage: the sound workers, or where there are none all.
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

// selection holds the first workers by each of the orders in which a survey goes through
// them.
type selection struct {
	content  uint64
	contents int
	kept     []Outline
	// near are those that come first in the node's order, and atContent those at which all
	// nodes look for the content.
	near, atContent []Outline
}

func (s *selection) empty() bool { return len(s.kept)+len(s.near) == 0 }

func (s *selection) add(worker Outline) {
	if worker.Tracked {
		s.kept = append(s.kept, worker)
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
	for _, worker := range slices.Concat(s.kept, s.near, s.atContent) {
		if !slices.Contains(names, worker.ID) {
			names = append(names, worker.ID)
		}
	}
	return names
}

// byNearness orders workers as a survey does: those of the node's zone first, and in an
// order of its own.
func byNearness(left, right Outline) int {
	if left.SameZone != right.SameZone {
		if left.SameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(left.Rank, right.Rank)
}

func byScore(left, right Outline) int { return cmp.Compare(right.score, left.score) }

// insert adds a worker to the first count in an order, if it is one of them.
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
