package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tinarch/tinarch/internal/rendezvous"
)

// regional returns engines of several regions as seen by a node of the first region, which
// tracks the load of its own region only. A third of each region's engines are for prefill.
func regional(perRegion int, regions ...string) []Candidate {
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []Candidate
	for r, region := range regions {
		for i := range perRegion {
			id := fmt.Sprint(region, i)
			candidate := Candidate{
				ID: id, Address: id, Region: region, OtherRegion: r > 0, Prefill: i%3 == 0, Decode: i%3 > 0,
				Slots: 48, Capacity: 400_000, Throughput: 40, PrefillCoefficients: readingAt(40),
				SortKey: random.Uint64(), Hash: rendezvous.Hash(id),
			}
			if candidate.Decode {
				candidate.Throughput, candidate.PrefillCoefficients = 10, readingAt(10)
			}
			if candidate.OtherRegion {
				candidate.Report, candidate.RoundTrip = Unasked, 24
			}
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// planned plans a request as a node does that gets an answer to all its questions.
func planned(request Request, candidates []Candidate) Plan {
	plan := Plan{}
	for _, scope := range Scopes(request, candidates) {
		chosen := Preselect(request, scope.Candidates, false)
		for i := range chosen {
			chosen[i].Report = Answered
		}
		if plan = New(DefaultCosts()).Plan(request, chosen); plan.Mode != Refused {
			break
		}
	}
	return plan
}

// TestContentIsServedInItsHomeRegion checks that a content is prefilled and decoded in its home
// region unless that is overloaded.
func TestContentIsServedInItsHomeRegion(t *testing.T) {
	for key := range uint64(100) {
		request := prompt(func(r *Request) { r.Content = key + 1 })
		candidates := regional(12, "north", "south", "west")
		home := HomeRegion(request.Content, candidates)
		plan := planned(request, candidates)
		if plan.Mode != Apart || plan.Reader.Region != home || plan.Runner.Region != home {
			t.Fatalf("content %d of %s: mode %s, prefilled in %s, decoded in %s", key, home, plan.Mode, plan.Reader.Region, plan.Runner.Region)
		}
		for i := range candidates {
			if candidates[i].Region == home {
				queued(400_000)(&candidates[i])
			}
		}
		if plan = planned(request, candidates); plan.Mode == Refused || plan.Reader.Region == home {
			t.Fatalf("content %d of overloaded %s: mode %s, prefilled in %s", key, home, plan.Mode, plan.Reader.Region)
		}
	}
}

// TestContentsFollowTheEngines checks that regions get contents in proportion to their engines,
// and that the loss of a region moves only its own contents.
func TestContentsFollowTheEngines(t *testing.T) {
	const contents = 3000
	all := append(regional(20, "north", "south"), regional(10, "west")...)
	rest, _ := split(all, func(c Candidate) bool { return c.Region != "south" })
	counts := make(map[string]int)
	for key := range uint64(contents) {
		home := HomeRegion(key+1, all)
		counts[home]++
		moved := HomeRegion(key+1, rest)
		if moved == "south" || home != "south" && moved != home {
			t.Fatalf("content %d of %s moves to %s when south is lost", key, home, moved)
		}
	}
	for region, share := range map[string]int{"north": 40, "south": 40, "west": 20} {
		if got := counts[region] * 100 / contents; got < share-4 || got > share+4 {
			t.Errorf("%s has %d of 100 contents, want about %d", region, got, share)
		}
	}
}

// TestOtherRequestsStayInTheRegion checks that requests without a content leave the node's
// region only if it cannot serve them in time.
func TestOtherRequestsStayInTheRegion(t *testing.T) {
	request := prompt(func(r *Request) { r.SharedTokens, r.PromptTokens = 0, 1100 })
	candidates := regional(12, "north", "south")
	if plan := planned(request, candidates); plan.Mode == Refused || plan.Runner.Region != "north" {
		t.Errorf("mode %s in region %s, want it served in north", plan.Mode, plan.Runner.Region)
	}
	for i := range candidates {
		if candidates[i].Region == "north" {
			queued(400_000)(&candidates[i])
		}
	}
	if plan := planned(request, candidates); plan.Mode == Refused || plan.Runner.Region != "south" {
		t.Errorf("with an overloaded region: mode %s in region %s, want it served in south", plan.Mode, plan.Runner.Region)
	}
	_, lost := split(candidates, func(c Candidate) bool { return c.Region == "north" })
	if plan := planned(request, lost); plan.Mode == Refused {
		t.Errorf("without engines in the region: refused, %s", plan.Reason)
	}
}

// TestCutOffRegionGetsNoRequests checks that no request goes to a region whose engines are
// still listed although all its decode engines have just failed or failed this request.
func TestCutOffRegionGetsNoRequests(t *testing.T) {
	candidates := regional(12, "north", "south", "west")
	failed := make(map[string]bool)
	for i := range candidates {
		if c := &candidates[i]; c.Region == "south" && c.Decode {
			c.Avoid = i%2 == 0
			failed[c.ID] = !c.Avoid
		}
	}
	for key := range uint64(100) {
		request := prompt(func(r *Request) { r.Content, r.Failed = key+1, failed })
		if plan := planned(request, candidates); plan.Mode == Refused || plan.Runner.Region == "south" {
			t.Fatalf("content %d of %s: mode %s at %q", key, HomeRegion(key+1, candidates), plan.Mode, plan.Runner.ID)
		}
	}
	south, _ := split(candidates, func(c Candidate) bool { return c.Region == "south" })
	if plan := planned(prompt(func(r *Request) { r.Failed = failed }), south); plan.Mode == Refused {
		t.Errorf("with no other region: refused, %s", plan.Reason)
	}
}

// TestKVCacheStaysInTheRegion checks that KV cache is moved and fetched between regions only if
// nothing else is left, and that the prediction then includes the slower links.
func TestKVCacheStaysInTheRegion(t *testing.T) {
	in := func(region string) func(*Candidate) { return func(c *Candidate) { c.Region = region } }
	keeper := reader("p2", in("west"), cached(13_300), queued(100_000))
	near := []Candidate{reader("p1", in("north")), decoder("d1", in("north"), running(40)), decoder("d2", in("south")), keeper}
	plan := New(DefaultCosts()).Plan(prompt(), near)
	if plan.Mode != Apart || plan.Reader.ID != "p1" || plan.Runner.ID != "d1" || plan.Fetch != "" {
		t.Errorf("mode %s, prefilled at %s with a fetch from %q, decoded at %s", plan.Mode, plan.Reader.ID, plan.Fetch, plan.Runner.ID)
	}
	far := New(DefaultCosts()).Plan(prompt(), []Candidate{near[0], near[2]})
	if far.Mode != Apart || far.Runner.ID != "d2" || far.First <= plan.First {
		t.Errorf("without a decode engine in the region: mode %s at %s after %v, within the region after %v", far.Mode, far.Runner.ID, far.First, plan.First)
	}
}
