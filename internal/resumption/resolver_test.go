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
	several bool
	// past is nil if the store doesn't tell it.
	past *ReadPast
}

func (f fakes) AskOrigin(context.Context, Key) Answers { return f.answers }

func (f fakes) RoutesDigest() string { return "routes" }

func (f fakes) ReadPast(context.Context, time.Time) (ReadPast, bool) {
	if f.past == nil {
		return ReadPast{}, false
	}
	return *f.past, true
}

func (f fakes) ServiceOf(string) (string, bool) { return "s", !f.several }

func TestStreamGoesOnOnlyWhereItIsKnownToHaveBegun(t *testing.T) {
	const maxAge = 30 * time.Second
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	arrived := time.Now()
	const now, era = 1_000_000, 7
	wrote := func(service string, versions ...string) *ReadPast {
		return &ReadPast{
			Past:      Past{Versions: map[string][]string{service: versions}, RoutesDigest: "routes", Complete: true, Era: era},
			NowMillis: now, CurrentEra: era,
		}
	}
	changed := func(change func(p *ReadPast)) *ReadPast {
		past := wrote("s", "v1")
		change(past)
		return past
	}
	for name, example := range map[string]struct {
		fakes  fakes
		want   Origin
		source Source
	}{
		"another node knows it":             {fakes{answers: Answers{Origin: v2, Known: true}}, v2, FromNode},
		"no other version":                  {fakes{past: wrote("s", "v1")}, v1, FromSole},
		"several versions":                  {fakes{several: true, past: wrote("s", "v1")}, Origin{}, NotFound},
		"several versions, a silent node":   {fakes{several: true, past: wrote("s", "v1"), answers: Answers{Silent: 1}}, Origin{}, Unproved},
		"started, the store is silent":      {fakes{}, Origin{}, Unproved},
		"started, nothing was ever written": {fakes{past: &ReadPast{}}, Origin{}, Unproved},
		"started, one version before":       {fakes{past: wrote("s", "v1")}, v1, FromSole},
		"started, nothing in the past":      {fakes{past: wrote("s")}, Origin{}, NotFound},
		"started, another one in the past":  {fakes{past: wrote("s", "v2")}, v2, FromSole},
		"started, another service's past":   {fakes{past: wrote("t", "v1")}, Origin{}, NotFound},
		"started, several versions before":  {fakes{past: wrote("s", "v1", "v2")}, Origin{}, NotFound},
		"started, other routes before":      {fakes{past: changed(func(p *ReadPast) { p.RoutesDigest = "others" })}, Origin{}, Unproved},
		"started, the route has moved":      {fakes{past: changed(func(p *ReadPast) { p.Moved = []string{"q", "r"} })}, Origin{}, NotFound},
		"started, another route has moved":  {fakes{past: changed(func(p *ReadPast) { p.Moved = []string{"q"} })}, v1, FromSole},
		"it is complete since the stream may have begun": {
			fakes{past: changed(func(p *ReadPast) { p.SinceMillis = now - 2*maxAge.Milliseconds() })}, v1, FromSole,
		},
		"it is complete since later": {
			fakes{past: changed(func(p *ReadPast) { p.SinceMillis = now - maxAge.Milliseconds() + 1 })}, Origin{}, NotFound,
		},
		"the store was restored since":                          {fakes{past: changed(func(p *ReadPast) { p.CurrentEra++ })}, Origin{}, NotFound},
		"an earlier build wrote it, or one of its nodes serves": {fakes{past: changed(func(p *ReadPast) { p.Complete = false })}, Origin{}, NotFound},
		"started, many routes have moved":                       {fakes{past: changed(func(p *ReadPast) { p.AnyMoved = true })}, Origin{}, NotFound},
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
	got, source, _ := NewResolver(store, fakes{}, fakes{several: true, past: &ReadPast{Past: Past{RoutesDigest: "routes", Complete: true}}}).Resolve(t.Context(), Request{Arrived: time.Now()})
	if source != NotFound {
		t.Errorf("the stream goes on at %v (%s)", got, source)
	}
}
