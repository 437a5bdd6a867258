package waitlist

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The fleet of a round: engines that serve requests of several ranks and tenants.
const (
	roundEngines = 90
	roundRanks   = 5
	roundTenants = 20
)

// roundWaiters returns requests that wait for MaxChoices engines each.
func roundWaiters(count int, random *rand.Rand) []Waiter {
	waiters := make([]Waiter, 0, count)
	for number := range count {
		w := waiterFor(uint64(number), random.IntN(roundRanks))
		w.Tenant = fmt.Sprint("tenant-", random.IntN(roundTenants))
		for _, engine := range random.Perm(roundEngines)[:MaxChoices] {
			latest := origin.Add(time.Second + time.Duration(random.IntN(2000))*time.Millisecond)
			w.Choices = append(w.Choices, Choice{Engine: fmt.Sprint("engine-", engine), Latest: latest, Here: true})
		}
		waiters = append(waiters, w)
	}
	return waiters
}

func busyFor(queue time.Duration) Account {
	return func(string) (time.Duration, bool) { return queue, true }
}

// BenchmarkRound measures a round of renewals: each request is registered again, with other
// times than before, and told its standing.
func BenchmarkRound(b *testing.B) {
	for _, count := range []int{100, 500, maxWaiters} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			waiters := roundWaiters(count, random)
			account := busyFor(time.Second)
			var list List
			for b.Loop() {
				for i := range waiters {
					for c := range waiters[i].Choices {
						waiters[i].Choices[c].Latest = waiters[i].Choices[c].Latest.Add(time.Duration(random.IntN(3)) * time.Millisecond)
					}
				}
				for begin := 0; begin < count; begin += 20 {
					message := waiters[begin:min(begin+20, count)]
					list.Expire(origin)
					for _, w := range message {
						list.Register(w, origin)
					}
					for _, w := range message {
						list.Standing(w.ID, account, origin)
					}
				}
			}
		})
	}
}

// BenchmarkNext measures the grant of an engine for which all requests wait, among others.
func BenchmarkNext(b *testing.B) {
	for _, count := range []int{100, 500, maxWaiters} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			waiters := roundWaiters(count, rand.New(rand.NewPCG(1, 2)))
			var list List
			for i := range waiters {
				waiters[i].Choices[0].Engine = "engine"
				list.Register(waiters[i], origin)
			}
			account := busyFor(0)
			for b.Loop() {
				granted, ok := list.Next("engine", account, origin)
				if !ok {
					b.Fatal("an idle engine was not granted")
				}
				list.Decline(granted.To.ID, "engine", granted.Serial)
				list.Register(granted.To, origin)
			}
		})
	}
}

// compare orders two requests that wait for an engine: the more urgent one first, then the one
// whose tenant has had less service, then the one that can wait less long.
func (l *List) compare(a, b *entry, engine string) int {
	left, _ := a.waiter.choice(engine)
	right, _ := b.waiter.choice(engine)
	return cmp.Or(
		cmp.Compare(a.waiter.Rank, b.waiter.Rank),
		cmp.Compare(l.flows.start(a.flow), l.flows.start(b.flow)),
		left.Latest.Compare(right.Latest),
		compareIDs(a.waiter.ID, b.waiter.ID),
	)
}

// naiveStanding is Standing, computed from all requests of a list. It returns the engines and
// waits of all choices, since several may be equally good.
func naiveStanding(l *List, id ID, account Account, now time.Time) map[string]Standing {
	asked := l.entries[id]
	standings := make(map[string]Standing)
	for _, choice := range asked.waiter.Choices {
		queue, usable := account(choice.Engine)
		if !choice.Here || !usable {
			continue
		}
		standing := Standing{Engine: choice.Engine, Wait: queue}
		for other, e := range l.entries {
			waits, chosen := e.waiter.choice(choice.Engine)
			if other == id || !chosen || !waits.Here || !e.live(now) || now.After(waits.Latest) || l.compare(e, asked, choice.Engine) > 0 {
				continue
			}
			standing.Ahead++
			standing.Wait += e.waiter.Need / time.Duration(len(e.waiter.Choices))
		}
		standings[choice.Engine] = standing
	}
	return standings
}

// naiveFirst is the first of the requests that may be granted an engine, computed from all
// requests of a list.
func naiveFirst(l *List, engine string, now time.Time) *entry {
	granted := make(map[ID]bool)
	for _, held := range l.grants {
		if now.Before(held.until) {
			granted[held.to] = true
		}
	}
	var first *entry
	for id, e := range l.entries {
		choice, waits := e.waiter.choice(engine)
		if !waits || !choice.Here || now.After(choice.Latest) || !e.live(now) || granted[id] || e.hasDeclined(engine) {
			continue
		}
		if first == nil || l.compare(e, first, engine) < 0 {
			first = e
		}
	}
	return first
}

// TestStandingsAndGrantsAreThoseOfAllRequests guards against an order kept by engine that differs
// from that of all requests, as they are registered, renewed, granted, declined, ended and expire.
func TestStandingsAndGrantsAreThoseOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list List
		now := origin
		engines := []string{"a", "b", "c", "d"}
		account := busyFor(0)
		ids := make(map[ID]bool)
		draw := func(number int) Waiter {
			w := waiterFor(uint64(number), rapid.IntRange(0, 2).Draw(t, "rank"))
			w.Tenant = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tenant")
			w.Tokens = rapid.IntRange(1, 300).Draw(t, "tokens")
			w.Need = time.Duration(rapid.IntRange(1, 300).Draw(t, "need")) * time.Millisecond
			for _, engine := range rapid.SliceOfNDistinct(rapid.SampledFrom(engines), 1, 4, rapid.ID[string]).Draw(t, "choices") {
				latest := now.Add(time.Duration(rapid.IntRange(-50, 900).Draw(t, "latest")) * time.Millisecond)
				w.Choices = append(w.Choices, Choice{Engine: engine, Latest: latest, Here: rapid.IntRange(0, 4).Draw(t, "here") > 0})
			}
			return w
		}
		var last Grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				w := draw(rapid.IntRange(0, 11).Draw(t, "number"))
				list.Register(w, now)
				ids[w.ID] = true
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pass")) * time.Millisecond)
				list.Expire(now)
			case 4:
				engine := rapid.SampledFrom(engines).Draw(t, "engine")
				want := naiveFirst(&list, engine, now)
				if held := list.grants[engine]; held != nil && now.Before(held.until) {
					want = nil
				}
				granted, ok := list.Next(engine, account, now)
				if ok != (want != nil) || ok && granted.To.ID != want.waiter.ID {
					t.Fatalf("%s: granted to %v (%v), want %+v", engine, granted.To.ID, ok, want)
				}
				if ok {
					last = granted
				}
			case 5:
				if rapid.Bool().Draw(t, "decline") {
					list.Decline(last.To.ID, last.Engine, last.Serial)
				} else {
					list.Leave(last.To.ID, last.Engine, now)
				}
			}
			for id := range ids {
				if list.entries[id] == nil {
					continue
				}
				got, found := list.Standing(id, account, now)
				want := naiveStanding(&list, id, account, now)
				if found != (len(want) > 0) || found && got != want[got.Engine] {
					t.Fatalf("%v stands at %+v, want one of %+v", id, got, want)
				}
				for _, other := range want {
					if other.Wait < got.Wait {
						t.Fatalf("%v stands at %+v, and better at %+v", id, got, other)
					}
				}
			}
		}
	})
}
