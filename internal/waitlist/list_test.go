package waitlist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var origin = time.Unix(1000, 0)

// accountOf returns the account of engines with the given queues. Others aren't known.
func accountOf(queues map[string]time.Duration) Account {
	return func(engine string) (time.Duration, bool) {
		queue, known := queues[engine]
		return queue, known
	}
}

var idleEngine = accountOf(map[string]time.Duration{"e": 0})

// waiterFor returns a request that waits for engines here for up to two seconds.
func waiterFor(number uint64, rank int, engines ...string) Waiter {
	w := Waiter{ID: ID{"n", number}, Rank: rank, Tokens: 100, Need: 100 * time.Millisecond, IdleBelow: 10 * time.Millisecond}
	for _, engine := range engines {
		w.Choices = append(w.Choices, Choice{Engine: engine, Latest: origin.Add(2 * time.Second), Here: true})
	}
	return w
}

// TestOrder checks the order of requests for one engine: urgency, then the service that the
// tenant has had, then the time for which the caller stays.
func TestOrder(t *testing.T) {
	urgent, impatient, later, served := waiterFor(1, 0, "e"), waiterFor(2, 1, "e"), waiterFor(3, 1, "e"), waiterFor(4, 1, "e")
	impatient.Choices[0].Latest = origin.Add(time.Second)
	served.Tenant = "served"
	served.Choices[0].Latest = origin.Add(900 * time.Millisecond)
	var list List
	before := waiterFor(9, 1, "e")
	before.Tenant, before.Tokens = "served", 1000
	list.Register(before, origin)
	if _, ok := list.Next("e", idleEngine, origin); !ok {
		t.Fatal("an idle engine was not granted")
	}
	list.Leave(before.ID, "e", origin)
	now := origin.Add(GrantLife)
	order := []Waiter{urgent, impatient, later, served}
	for i, want := range order {
		for _, w := range slices.Backward(order[i:]) {
			list.Register(w, now)
		}
		got, ok := list.Next("e", idleEngine, now)
		if !ok || got.To.ID != want.ID {
			t.Fatalf("granted to %v, %v, want %v", got.To.ID, ok, want.ID)
		}
		list.Leave(want.ID, "e", now)
		now = now.Add(GrantLife)
		list.Expire(now)
	}
}

// TestWhoComesTooLateIsNotGranted checks that a request whose caller would leave before it is
// served gets no engine.
func TestWhoComesTooLateIsNotGranted(t *testing.T) {
	var list List
	w := waiterFor(1, 0, "e")
	w.Choices[0].Latest = origin.Add(-time.Millisecond)
	list.Register(w, origin)
	if got, ok := list.Next("e", idleEngine, origin); ok {
		t.Errorf("granted to %v", got.To.ID)
	}
}

// TestBusyAndUnknownEnginesAreNotGranted checks the engines that nobody is granted.
func TestBusyAndUnknownEnginesAreNotGranted(t *testing.T) {
	var list List
	list.Register(waiterFor(1, 0, "busy", "unknown"), origin)
	for _, engine := range []string{"busy", "unknown", "not waited for"} {
		if _, ok := list.Next(engine, accountOf(map[string]time.Duration{"busy": time.Second}), origin); ok {
			t.Errorf("%s was granted", engine)
		}
	}
}

// TestDeclinedEngineGoesToTheNext checks that a grant that can't be used is given to another
// request at once, and not to the same one again before its next message.
func TestDeclinedEngineGoesToTheNext(t *testing.T) {
	var list List
	list.Register(waiterFor(1, 0, "e"), origin)
	list.Register(waiterFor(2, 1, "e"), origin)
	for _, want := range []uint64{1, 2} {
		got, ok := list.Next("e", idleEngine, origin)
		if !ok || got.To.ID.Number != want {
			t.Fatalf("granted to %v, %v, want %d", got.To.ID, ok, want)
		}
		list.Decline(got.To.ID, "e", got.Serial)
	}
	if got, ok := list.Next("e", idleEngine, origin); ok {
		t.Errorf("granted to %v again", got.To.ID)
	}
}

// TestLateMessageOfAnEndedRequest checks that a message that arrives after the end of the wait
// doesn't make the request wait again.
func TestLateMessageOfAnEndedRequest(t *testing.T) {
	var list List
	w := waiterFor(1, 0, "e")
	list.Register(w, origin)
	list.Leave(w.ID, "", origin)
	if list.Register(w, origin) || list.Len() != 0 {
		t.Error("an ended request waits again")
	}
}

// TestFullListKeepsTheMoreUrgent checks the bound of a list.
func TestFullListKeepsTheMoreUrgent(t *testing.T) {
	var list List
	for number := range uint64(maxWaiters) {
		list.Register(waiterFor(number, 1, "e"), origin)
	}
	if list.Register(waiterFor(maxWaiters, 1, "e"), origin) || !list.Register(waiterFor(maxWaiters+1, 0, "e"), origin) {
		t.Error("a full list must take a more urgent request and no other")
	}
	if list.Len() != maxWaiters {
		t.Errorf("%d requests on the list", list.Len())
	}
}

// TestTenantsAreBounded checks that tenants beyond the bound share a flow.
func TestTenantsAreBounded(t *testing.T) {
	var known flows
	for i := range 2 * maxFlows {
		known.charge(known.key(Waiter{Tenant: fmt.Sprint(i)}), 1, origin)
	}
	if len(known.known) > maxFlows+1 {
		t.Errorf("%d flows", len(known.known))
	}
	known.expire(origin.Add(2 * flowLife))
	if len(known.known) != 0 {
		t.Errorf("%d flows after a long time", len(known.known))
	}
}

// TestStandingCountsThoseAhead checks what a request is told.
func TestStandingCountsThoseAhead(t *testing.T) {
	var list List
	list.Register(waiterFor(1, 0, "e", "f"), origin)
	list.Register(waiterFor(2, 1, "e"), origin)
	list.Register(waiterFor(3, 2, "e"), origin)
	account := accountOf(map[string]time.Duration{"e": 300 * time.Millisecond, "f": 0})
	got, known := list.Standing(ID{"n", 2}, account, origin)
	if want := (Standing{Engine: "e", Ahead: 1, Wait: 350 * time.Millisecond}); !known || got != want {
		t.Errorf("%+v, %v, want %+v", got, known, want)
	}
}

// TestSmallTenantGetsItsShare checks that, while both wait, a tenant gets as many tokens
// prefilled as one that offers ten times as many requests.
func TestSmallTenantGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 500
		var list List
		now, number := origin, uint64(0)
		register := func(tenant string) {
			number++
			w := waiterFor(number, 1, "e")
			w.Tenant, w.Tokens = tenant, rapid.IntRange(1, most).Draw(t, "tokens")
			w.Choices[0].Latest = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "latest")) * time.Millisecond)
			list.Register(w, now)
		}
		served := make(map[string]int)
		for range 60 {
			for i := range 11 {
				register([]string{"small", "large"}[min(i, 1)])
			}
			got, ok := list.Next("e", idleEngine, now)
			if !ok {
				t.Fatal("an idle engine was not granted")
			}
			served[got.To.Tenant] += got.To.Tokens
			list.Leave(got.To.ID, "e", now)
			if difference := served["large"] - served["small"]; max(difference, -difference) > 2*most {
				t.Fatalf("tokens served: %v", served)
			}
			now = now.Add(GrantLife)
			list.Expire(now)
		}
	})
}

// listModel checks a list against what is promised of each grant.
type listModel struct {
	list       List
	now        time.Time
	registered map[uint64]time.Time
	waiters    map[uint64]Waiter
	declined   map[uint64]map[string]bool
	// holder is who holds each engine, and until when.
	holder map[string]uint64
	until  map[string]time.Time
	serial map[string]uint64
}

func (m *listModel) holds(number uint64) bool {
	for engine, holder := range m.holder {
		if holder == number && m.now.Before(m.until[engine]) {
			return true
		}
	}
	return false
}

func (m *listModel) next(t *rapid.T, engine string) {
	got, ok := m.list.Next(engine, accountOf(map[string]time.Duration{"a": 0, "b": 0}), m.now)
	if !ok {
		return
	}
	if _, held := m.holder[engine]; held && m.now.Before(m.until[engine]) {
		t.Fatalf("%s was granted twice", engine)
	}
	if m.holds(got.To.ID.Number) {
		t.Fatalf("%s went to a request that holds another engine", engine)
	}
	for number, w := range m.waiters {
		choice, waits := w.choice(engine)
		live := m.now.Sub(m.registered[number]) < WaiterLife && !m.now.After(choice.Latest)
		if waits && live && w.Rank < got.To.Rank && !m.holds(number) && !m.declined[number][engine] {
			t.Fatalf("%s went to rank %d while rank %d waited", engine, got.To.Rank, w.Rank)
		}
	}
	m.holder[engine], m.until[engine], m.serial[engine] = got.To.ID.Number, m.now.Add(GrantLife), got.Serial
}

// TestGrantsKeepTheOrder checks after any messages, lost or late ones included, that no engine
// is granted twice at a time, that nobody is passed over by a less urgent request, and that
// nobody waits after the last message of its node.
func TestGrantsKeepTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &listModel{
			now: origin, registered: make(map[uint64]time.Time), waiters: make(map[uint64]Waiter),
			declined: make(map[uint64]map[string]bool), holder: make(map[string]uint64), until: make(map[string]time.Time), serial: make(map[string]uint64),
		}
		number := rapid.Uint64Range(1, 6)
		engine := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				w := waiterFor(number.Draw(t, "number"), rapid.IntRange(0, 3).Draw(t, "rank"), "a", "b")
				w.Tenant = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tenant")
				w.Choices[0].Latest = m.now.Add(time.Duration(rapid.IntRange(-50, 1000).Draw(t, "latest")) * time.Millisecond)
				w.Choices[1].Latest = m.now.Add(time.Second)
				if m.list.Register(w, m.now) {
					m.waiters[w.ID.Number], m.registered[w.ID.Number] = w, m.now
					delete(m.declined, w.ID.Number)
				}
			},
			"next": func(t *rapid.T) { m.next(t, engine.Draw(t, "engine")) },
			"decline": func(t *rapid.T) {
				who, what := number.Draw(t, "number"), engine.Draw(t, "engine")
				serial := m.serial[what] - rapid.Uint64Range(0, 1).Draw(t, "late")
				m.list.Decline(ID{"n", who}, what, serial)
				if m.holder[what] != who || serial != m.serial[what] {
					return
				}
				if m.declined[who] == nil {
					m.declined[who] = make(map[string]bool)
				}
				m.declined[who][what] = true
				delete(m.holder, what)
			},
			"leave": func(t *rapid.T) {
				who, used := number.Draw(t, "number"), engine.Draw(t, "used")
				m.list.Leave(ID{"n", who}, used, m.now)
				delete(m.waiters, who)
				for what, holder := range m.holder {
					if holder == who && what != used {
						delete(m.holder, what)
					}
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				m.list.Expire(m.now)
			},
		})
		m.list.Expire(m.now.Add(max(WaiterLife, GrantLife)))
		if m.list.Len() != 0 || len(m.list.grants) != 0 || len(m.list.left) != 0 {
			t.Fatal("something is left after all have expired")
		}
	})
}
