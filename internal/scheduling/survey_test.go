package scheduling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/rendezvous"
)

// engines returns prefill and decode engines in five zones as seen by a node that tracks none
// of them.
func engines(readers, decoders, zone int, random *rand.Rand) []Candidate {
	var candidates []Candidate
	for i := range readers + decoders {
		id := fmt.Sprint(i)
		candidates = append(candidates, Candidate{
			ID: id, Address: id, Prefill: i < readers, Decode: i >= readers, SameZone: i%5 == zone,
			Throughput: 40, PrefillCoefficients: readingAt(40), Capacity: 400_000, SortKey: random.Uint64(), Hash: rendezvous.Hash(id),
			Report: Unasked,
		})
	}
	return candidates
}

func names(candidates []Candidate) []string {
	var ids []string
	for _, candidate := range candidates {
		ids = append(ids, candidate.ID)
	}
	return ids
}

func content(key uint64) Request {
	return Request{PromptTokens: 9000, SharedTokens: 6000, Content: key, ObjectiveLeft: 5 * time.Second, Remaining: 5 * time.Second}
}

// TestNodesLookForAContentAtTheSameEngines checks that all nodes look for a content at the same
// engines, whatever their zone, and that contents are spread over all engines.
func TestNodesLookForAContentAtTheSameEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const readers, contents = 80, 1000
	places := make(map[string]int)
	for key := range uint64(contents) {
		var first []string
		for node := range 3 {
			chosen := Preselect(content(key+1), engines(readers, 80, node, random), false)
			found := slices.DeleteFunc(slices.Clone(chosen), func(c Candidate) bool { return !c.Prefill || c.NotHome })
			if len(found) != contentChoices {
				t.Fatalf("%d engines at which all nodes look, want contentChoices", len(found))
			}
			if node == 0 {
				first = names(found)
			} else if !slices.Equal(first, names(found)) {
				t.Fatalf("one node looks at engines %v, another at %v", first, names(found))
			}
		}
		for _, id := range first {
			places[id]++
		}
	}
	for id, count := range places {
		if mean := contents * contentChoices / readers; count < mean/2 || count > 2*mean {
			t.Errorf("engine %s is looked at for %d contents, %d on average", id, count, mean)
		}
	}
}

// TestNodesDoNotAllChooseTheFreeWorker guards against a stampede: one of many prefill engines
// has become free, and no node knows yet what the others place on it. If all nodes compared all
// engines, all would choose that one.
func TestNodesDoNotAllChooseTheFreeWorker(t *testing.T) {
	const nodes, most = 60, 12
	random := rand.New(rand.NewPCG(1, 2))
	chosen := 0
	for node := range nodes {
		candidates := engines(36, 54, node%5, random)
		for i := range candidates {
			candidates[i].ReadTokens, candidates[i].ReadAhead = 20_000, 20_000
		}
		candidates[0].ReadTokens, candidates[0].ReadAhead = 0, 0
		request := content(uint64(node + 1))
		plan := New(DefaultCosts()).Plan(request, Preselect(request, candidates, false))
		if plan.Reader.ID == candidates[0].ID {
			chosen++
		}
	}
	if chosen < 1 || chosen > most {
		t.Errorf("%d of %d nodes chose the free prefill engine", chosen, nodes)
	}
}

// TestPreselectIsBounded checks that the number of workers asked for does not grow with the
// fleet.
func TestPreselectIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, size := range []int{40, 160, 5000} {
		for key, want := range map[uint64]int{0: readersWithoutContent + runnerChoices, 9: contentChoices + nearReaders + runnerChoices} {
			got := Preselect(content(key), engines(size/2, size/2, 0, random), false)
			if len(got) > want || len(got) < want-nearReaders {
				t.Errorf("%d engines: %d are asked for, want %d", size, len(got), want)
			}
			if wide := Preselect(content(key), engines(size/2, size/2, 0, random), true); len(wide) <= len(got) {
				t.Errorf("%d engines: wide takes %d workers, narrow %d", size, len(wide), len(got))
			}
		}
	}
}

// TestTrackedWorkersAreAllPreselected checks that all tracked workers are considered, since
// they cost no message. A node that tracks all workers considers all, as it does for opaque
// requests.
func TestTrackedWorkersAreAllPreselected(t *testing.T) {
	candidates := engines(36, 54, 0, rand.New(rand.NewPCG(5, 6)))
	for _, i := range []int{7, 30, 60, 80} {
		candidates[i].Report = Tracked
	}
	got := names(Preselect(content(9), candidates, false))
	for _, id := range []string{"7", "30", "60", "80"} {
		if !slices.Contains(got, id) {
			t.Errorf("tracked worker %s is not chosen", id)
		}
	}
	if got := Preselect(Request{}, candidates, false); len(got) != 90 {
		t.Errorf("an opaque request: %d of 90 workers chosen, want all", len(got))
	}
	for i := range candidates {
		candidates[i].Report = Tracked
	}
	if got := Preselect(content(9), candidates, false); len(got) != 90 || slices.ContainsFunc(got, func(c Candidate) bool { return c.NotHome }) {
		t.Errorf("%d of 90 tracked workers chosen, want all and all at home", len(got))
	}
}

// TestEnginesOfTheZoneComeFirst checks that a node prefers engines in its own zone, since
// traffic between zones is expensive.
func TestEnginesOfTheZoneComeFirst(t *testing.T) {
	for _, candidate := range Preselect(content(0), engines(40, 40, 2, rand.New(rand.NewPCG(7, 8))), false) {
		if !candidate.SameZone {
			t.Errorf("engine %s of another zone is chosen", candidate.ID)
		}
	}
}

func TestUnsoundWorkersAreReplacedBySoundOnes(t *testing.T) {
	candidates := engines(36, 0, 0, rand.New(rand.NewPCG(5, 6)))
	for i := range candidates {
		candidates[i].Avoid = i != 20
	}
	got := Preselect(content(9), candidates, false)
	if len(got) != 1 || got[0].ID != "20" {
		t.Errorf("got %v, want only the sound worker 20", names(got))
	}
	candidates[20].Avoid = true
	if got := Preselect(content(9), candidates, true); len(got) < contentChoices*widenFactor {
		t.Errorf("all 36 workers failed: only %d chosen", len(got))
	}
	request := content(9)
	request.Excluded = map[string]bool{got[0].ID: true}
	if slices.Contains(names(Preselect(request, candidates, true)), got[0].ID) {
		t.Error("an excluded engine is chosen")
	}
}

// TestUnknownLoadIsNotChosen checks that workers of unknown load are dropped as long as the
// load of another is known. An unknown load looks like the smallest, so that all nodes would
// choose them.
func TestUnknownLoadIsNotChosen(t *testing.T) {
	candidates := engines(2, 2, 0, rand.New(rand.NewPCG(5, 6)))
	for i, report := range []ReportState{Unanswered, Answered, Unanswered, Unanswered} {
		candidates[i].Report = report
	}
	if got := names(WithKnownLoad(candidates)); !slices.Equal(got, []string{"1", "2", "3"}) {
		t.Errorf("got %v, want 1, 2 and 3", got)
	}
}

// TestPrefillStaysWhereOthersLook checks which of two idle engines without the prompt prefills
// it: the one where all nodes look for it, even in another zone, unless its queue is long.
func TestPrefillStaysWhereOthersLook(t *testing.T) {
	notHome := func(c *Candidate) { c.NotHome = true }
	for name, test := range map[string]struct {
		found Candidate
		want  string
	}{
		"idle":   {reader("found", otherZone), "found"},
		"queued": {reader("found", otherZone, queued(15_000)), "stray"},
	} {
		plan := New(DefaultCosts()).Plan(prompt(), []Candidate{test.found, reader("stray", notHome), decoder("d")})
		if plan.Reader.ID != test.want {
			t.Errorf("%s: prefilled at %s", name, plan.Reader.ID)
		}
	}
}

// TestHoldersAreOnlyFetchedFrom checks that a worker known only for what it has cached is
// chosen neither to prefill nor to run.
func TestHoldersAreOnlyFetchedFrom(t *testing.T) {
	engine := EngineTimes{MovePerToken: 0.0004, Fetch: 5, Queue: 1}
	reading, slower := latency.Coefficients{Fixed: 10, PerThousand: 27}, latency.Coefficients{Fixed: 10, PerThousand: 54}
	reader := Candidate{ID: "reader", Address: "1.1.1.1:1", Prefill: true, Slots: 8, Capacity: 400_000, Throughput: 36, PrefillCoefficients: reading, SameZone: true}
	holder := Candidate{ID: "holder", Address: "1.1.1.2:1", Prefill: true, Slots: 8, Capacity: 400_000, Throughput: 36, PrefillCoefficients: reading, SameZone: true}
	runner := Candidate{ID: "runner", Address: "1.1.1.3:1", Decode: true, Slots: 8, Capacity: 400_000, Throughput: 18, PrefillCoefficients: slower, Requests: 5, SameZone: true}
	request := Request{
		Engine: engine, RouteObjective: time.Second, ObjectiveLeft: time.Second, Remaining: 5 * time.Second,
		PromptTokens: 17_000, SharedTokens: 13_000, OutputTokens: 50,
	}
	candidates := WithHolders([]Candidate{reader, runner}, []Candidate{reader, holder, runner},
		[]Holder{{Worker: "holder", Tokens: 13_000}, {Worker: "gone", Tokens: 13_000}})
	plan := New(DefaultCosts()).Plan(request, candidates)
	if plan.Reader.ID != "reader" || plan.Fetch != holder.Address || plan.Unread != 4000 {
		t.Errorf("%s prefills %d tokens and fetches from %q", plan.Reader.ID, plan.Unread, plan.Fetch)
	}
	known := WithHolders([]Candidate{reader}, []Candidate{reader}, []Holder{{Worker: "reader", Tokens: 13_000}})
	if len(known) != 1 || known[0].SourceOnly || known[0].CachedTokens != 13_000 {
		t.Errorf("holder that was chosen already: %+v", known)
	}
}
