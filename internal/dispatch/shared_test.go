package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

// TestSharedTokensAreReported: all parts but the last count, as read by the first call and as
// held by an engine for the next.
func TestSharedTokensAreReported(t *testing.T) {
	dispatcher, registry, call, _ := newLateFixture(t)
	registry.FollowShared(func(bool) bool { return true })
	call.Route.Objective, call.Deadline = time.Hour, time.Now().Add(time.Hour)
	call.Prompt = []prefixcache.Part{{ID: 1, Tokens: 1500}, {ID: 2, Tokens: 500}}
	dispatcher.Run(context.Background(), call, &sink{})
	first := registry.Demands("llm", time.Now())[""]
	if first.SharedTokens == 0 || first.SharedUnread != first.SharedTokens {
		t.Errorf("first call: %+v, want all shared tokens unread", first)
	}
	again := *call
	again.ID, again.Prompt = "2", []prefixcache.Part{{ID: 1, Tokens: 1500}, {ID: 3, Tokens: 500}}
	dispatcher.Run(context.Background(), &again, &sink{})
	if both := registry.Demands("llm", time.Now())[""]; both.SharedTokens <= both.SharedUnread {
		t.Errorf("both calls: %+v, want fewer unread than shared tokens", both)
	}
}
