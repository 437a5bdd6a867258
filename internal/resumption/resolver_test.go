package resumption

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fakes answer as another node, as this node's history and as the store.
type fakes struct {
	answers Answers
	sole    Sole
	several bool
	// past is nil if the store doesn't tell it, and outdated tells that it doesn't confirm that this
	// node has followed everything.
	past     *Past
	outdated bool
}

func (f fakes) IsCurrent(context.Context, time.Time) (current, told bool) {
	return !f.outdated, !f.outdated
}

func (f fakes) AskOrigin(context.Context, Key) Answers { return f.answers }

func (f fakes) RoutesDigest() string { return "routes" }

func (f fakes) ReadPast(context.Context, time.Time) (Past, bool) {
	if f.past == nil {
		return Past{}, false
	}
	return *f.past, true
}

func (f fakes) SoleOrigin(string) (Sole, bool) { return f.sole, !f.several }

func TestStreamGoesOnOnlyWhereItIsKnownToHaveBegun(t *testing.T) {
	const maxAge = 30 * time.Second
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	arrived := time.Now()
	before := func(span time.Duration) time.Time { return arrived.Add(-span) }
	followed := Sole{Origin: v1, Since: before(maxAge)}
	started := Sole{Origin: v1, Since: before(2 * time.Second)}
	wrote := func(service string, versions ...string) *Past {
		return &Past{Versions: map[string][]string{service: versions}, RoutesDigest: "routes"}
	}
	changed := func(change func(p *Past)) *Past {
		past := wrote("s", "v1")
		change(past)
		return past
	}
	for name, example := range map[string]struct {
		fakes  fakes
		want   Origin
		source Source
	}{
		"another node knows it":              {fakes{answers: Answers{Origin: v2, Known: true}, sole: followed}, v2, FromNode},
		"no other version":                   {fakes{sole: followed}, v1, FromSole},
		"several versions":                   {fakes{sole: followed, several: true}, Origin{}, NotFound},
		"several versions, a silent node":    {fakes{several: true, answers: Answers{Silent: 1}}, Origin{}, Unproved},
		"started, the store is silent":       {fakes{sole: started}, Origin{}, Unproved},
		"the store doesn't confirm the list": {fakes{sole: followed, past: &Past{}, outdated: true}, Origin{}, Unproved},
		"started, one version before":        {fakes{sole: started, past: wrote("s", "v1")}, v1, FromSole},
		"started, nothing in the past":       {fakes{sole: started, past: &Past{RoutesDigest: "routes"}}, Origin{}, NotFound},
		"started, another one in the past":   {fakes{sole: started, past: wrote("s", "v2")}, Origin{}, NotFound},
		"started, another service's past":    {fakes{sole: started, past: wrote("t", "v1")}, Origin{}, NotFound},
		"started, several versions before":   {fakes{sole: started, past: wrote("s", "v1", "v2")}, Origin{}, NotFound},
		"started, other routes before":       {fakes{sole: started, past: changed(func(p *Past) { p.RoutesDigest = "others" })}, Origin{}, NotFound},
		"started, the route has moved":       {fakes{sole: started, past: changed(func(p *Past) { p.Moved = []string{"q", "r"} })}, Origin{}, NotFound},
		"started, another route has moved":   {fakes{sole: started, past: changed(func(p *Past) { p.Moved = []string{"q"} })}, v1, FromSole},
		"started, many routes have moved":    {fakes{sole: started, past: changed(func(p *Past) { p.AnyMoved = true })}, Origin{}, NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			resolver := NewResolver(NewStore(), example.fakes, example.fakes)
			got, source, failure := resolver.Resolve(t.Context(), Request{Key: 1, Route: "r", Arrived: arrived, MaxAge: maxAge})
			if diff := cmp.Diff(example.want, got); diff != "" || source != example.source || (failure == nil) != (got != Origin{}) {
				t.Errorf("%s (%s, %v)", diff, source, failure)
			}
			if failure != nil && (failure.RetryAfterMillis > 0) != (source == Unproved) {
				t.Errorf("Retry-After is %d ms", failure.RetryAfterMillis)
			}
		})
	}
}

func TestStreamWithoutAnAttemptIsLookedUpNowhere(t *testing.T) {
	store := NewStore()
	store.Put(0, Origin{"s", "v2"}, time.Now())
	got, source, _ := NewResolver(store, fakes{}, fakes{several: true}).Resolve(t.Context(), Request{Arrived: time.Now()})
	if source != NotFound {
		t.Errorf("the stream goes on at %v (%s)", got, source)
	}
}

// behind is a history that has caught up with the store at the second look.
type behind struct {
	fakes
	looks *int
	last  *time.Time
}

func (b behind) IsCurrent(_ context.Context, since time.Time) (current, told bool) {
	*b.looks++
	fresh := since.After(*b.last)
	*b.last = since
	return *b.looks > 1 && fresh, true
}

func TestNodeThatCatchesUpWithTheStoreIsAskedAnew(t *testing.T) {
	arrived, looks := time.Now(), 0
	history := behind{fakes{sole: Sole{Origin: Origin{"s", "v1"}}}, &looks, &time.Time{}}
	_, source, _ := NewResolver(NewStore(), fakes{}, history).Resolve(t.Context(), Request{Key: 1, Arrived: arrived, MaxAge: time.Second})
	if source != FromSole || looks != 2 {
		t.Errorf("%s after %d looks", source, looks)
	}
}
