package dispatch

import (
	"testing"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/tenant"
)

func TestAttemptOfAnotherTenantNamesNoStreamOfItsOwner(t *testing.T) {
	resumable := &routing.Route{Kind: routing.Streaming, Resumable: true}
	begun := &Call{ID: "first", Route: resumable, Tenant: tenant.New("a")}
	store := resumption.NewStore()
	now := begun.Arrived
	store.Put(begun.StreamKey(), resumption.Origin{Service: "s", Software: "v1"}, now)
	for owner, want := range map[string]bool{"a": true, "b": false, "": false} {
		taken := &Call{ID: "second", Route: resumable, Tenant: tenant.New(owner), Resumes: "first", LastEventID: "2"}
		if _, known := store.Get(taken.StreamKey(), now); known != want {
			t.Errorf("tenant %q finds the stream: %v", owner, known)
		}
	}
}

func TestRequestContinuesAStreamOnlyOnARouteThatAllowsIt(t *testing.T) {
	for name, example := range map[string]struct {
		call Call
		want bool
	}{
		"begins":               {Call{Route: &routing.Route{Kind: routing.Streaming, Resumable: true}}, false},
		"names an event":       {Call{Route: &routing.Route{Kind: routing.Streaming, Resumable: true}, LastEventID: "1"}, true},
		"names an attempt":     {Call{Route: &routing.Route{Kind: routing.Streaming, Resumable: true}, Resumes: "x"}, true},
		"may not be continued": {Call{Route: &routing.Route{Kind: routing.Streaming}, LastEventID: "1", Resumes: "x"}, false},
		"is no stream":         {Call{Route: &routing.Route{Kind: routing.Idempotent, Resumable: true}, LastEventID: "1"}, false},
	} {
		if got := example.call.ContinuesStream(); got != example.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
