package platform

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/platform/objects"
	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/result"
)

func startTable(t *testing.T, total time.Duration) (*Table, *table.Client) {
	t.Helper()
	fake, err := StartTable("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fake.Close)
	return fake, clientOf(fake, 1000, total)
}

func clientOf(fake *Table, requestsPerSecond float64, total time.Duration) *table.Client {
	return table.New(table.Settings{
		Endpoint: fake.URL(), Region: "local", Table: "tinarch", AccessKey: "a", SecretKey: "s",
		RequestsPerSecond: requestsPerSecond, Total: total,
	})
}

var key = table.Key{Partition: "p", Sort: "1"}

func write(revision, expected uint64, value string) []table.Write {
	return []table.Write{{Item: table.Item{Key: key, Revision: revision, Value: []byte(value)}, Expected: expected}}
}

func TestTableAdapterReadsWritesAndConflicts(t *testing.T) {
	_, client := startTable(t, time.Second)
	ctx := context.Background()
	if _, err := client.Get(ctx, key); !errors.Is(err, table.ErrNotFound) {
		t.Fatalf("empty table: %v", err)
	}
	if err := client.Transact(ctx, "t1", write(1, 0, "one")); err != nil {
		t.Fatal(err)
	}
	if err := client.Transact(ctx, "t2", write(1, 0, "again")); !errors.Is(err, table.ErrConflict) {
		t.Errorf("second creation: %v", err)
	}
	if err := client.Transact(ctx, "t3", write(2, 1, "two")); err != nil {
		t.Errorf("update: %v", err)
	}
	items, err := client.Query(ctx, "p", "", 10)
	want := []table.Item{{Key: key, Revision: 2, Value: []byte("two")}}
	if diff := cmp.Diff(want, items); err != nil || diff != "" {
		t.Errorf("query: %v\n%s", err, diff)
	}
}

func TestTableAdapterSurvivesLostAnswers(t *testing.T) {
	fake, client := startTable(t, 5*time.Second)
	fake.SetFaults(Faults{LoseAnswers: 2})
	if err := client.Transact(context.Background(), "t1", write(1, 0, "one")); err != nil {
		t.Fatalf("write whose answer was lost twice: %v", err)
	}
	item, err := client.Get(context.Background(), key)
	if err != nil || item.Revision != 1 {
		t.Errorf("item %+v, error %v", item, err)
	}
}

// TestTableAdapterTellsNotDoneFromUnknown: the client's own rate ends a call after the tries of its burst, so no try
// is under way when the call ends.
func TestTableAdapterTellsNotDoneFromUnknown(t *testing.T) {
	const total = time.Minute
	fake, client := startTable(t, total)
	fake.SetFaults(Faults{LoseAnswers: 1000})
	err := clientOf(fake, 0.001, total).Transact(context.Background(), "t1", write(1, 0, "one"))
	if result.CodeOf(err) != result.ApplyUnknown {
		t.Errorf("all answers lost: %v", err)
	}
	fake.SetFaults(Faults{RequestsPerSecond: 0.001})
	if item, err := client.Get(context.Background(), key); err != nil || item.Revision != 1 { // uses up the limiter's burst
		t.Errorf("item %+v, error %v", item, err)
	}
	tried := fake.Requests()
	err = clientOf(fake, 0.001, total).Transact(context.Background(), "t2", write(2, 1, "two"))
	if result.CodeOf(err) != result.TableUnavailable {
		t.Errorf("throttled: %v", err)
	}
	if tries := fake.Requests() - tried; tries < 2 {
		t.Errorf("throttled: %d tries", tries)
	}
}

func TestObjectAdapter(t *testing.T) {
	fake, err := StartObjects("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer fake.Close()
	client := objects.New(objects.Settings{Endpoint: fake.URL(), Region: "local", Bucket: "b", AccessKey: "a", SecretKey: "s", RequestsPerSecond: 1000})
	ctx := context.Background()
	if _, err := client.Get(ctx, "x"); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("missing object: %v", err)
	}
	fake.SetFaults(Faults{LoseAnswers: 1})
	if err := client.Put(ctx, "x", []byte("content")); err != nil {
		t.Fatal(err)
	}
	content, err := client.Get(ctx, "x")
	if err != nil || string(content) != "content" {
		t.Errorf("content %q, error %v", content, err)
	}
}

func TestMachineListAdapter(t *testing.T) {
	fake, err := StartMachines("127.0.0.1:0", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer fake.Close()
	first := []machines.Machine{{Kind: machines.KindEngine, Name: "e1", Address: "127.0.0.1:1", Pool: "p", Zone: "z"}}
	fake.Set(first)
	fake.Set([]machines.Machine{{Kind: machines.KindEngine, Name: "e1", Address: "127.0.0.1:1", Leaving: true}})
	list, err := machines.New(fake.URL()).List(context.Background())
	if diff := cmp.Diff(first, list); err != nil || diff != "" {
		t.Errorf("list before the lag has passed: %v\n%s", err, diff)
	}
}

func TestMachineListRejectsHalfEntries(t *testing.T) {
	for _, content := range []string{"{}", `[{"targets":["x"],"labels":{"name":"n"}}]`, `[{"targets":["h:1"],"labels":{}}]`} {
		if _, err := machines.Parse([]byte(content)); err == nil {
			t.Errorf("%s was accepted", content)
		}
	}
}
