package catalog

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/routing"
)

func readExample(t *testing.T) *tinarchv1.Catalog {
	t.Helper()
	catalog, err := ReadFile("../../examples/verifica-norte/catalog.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return catalog
}

func TestExamplesAreValid(t *testing.T) {
	for _, path := range []string{"../../examples/verifica-norte/catalog.yaml", "../../examples/hnefi/catalog.yaml"} {
		catalog, err := ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if violations := Validate(catalog); len(violations) > 0 {
			t.Errorf("%s:\n%v", path, violations)
		}
	}
}

func TestValidateNamesObjectAndField(t *testing.T) {
	cases := []struct {
		name, object, field string
		change              func(*tinarchv1.Catalog)
	}{
		{"dangling class", "kind comparison", "priority_class", func(c *tinarchv1.Catalog) { c.Kinds[0].PriorityClass = "none" }},
		{"dangling model", "kind comparison", "model", func(c *tinarchv1.Catalog) { c.Kinds[0].Model = "none" }},
		{"dangling pool", "model comparador-70b", "pool", func(c *tinarchv1.Catalog) { c.Models[0].Pool = "none" }},
		{"dangling version", "model comparador-70b", "default_version", func(c *tinarchv1.Catalog) { c.Models[0].DefaultVersion = "none" }},
		{"adapter of another model", "kind report-status", "adapter", func(c *tinarchv1.Catalog) { c.Kinds[3].Adapter = "citations-pt" }},
		{"window too small", "kind comparison", "max_prompt_tokens", func(c *tinarchv1.Catalog) { c.Kinds[0].MaxPromptTokens = 200_000 }},
		{"first token after deadline", "kind comparison", "first_token_ms", func(c *tinarchv1.Catalog) { c.Kinds[0].FirstTokenMs = 90_000 }},
		{"key forgotten too soon", "kind comparison", "key_window_seconds", func(c *tinarchv1.Catalog) { c.Kinds[0].KeyWindowSeconds = 20 }},
		{"zero weight", "class portal", "weight", func(c *tinarchv1.Catalog) { c.Classes[0].Weight = 0 }},
		{"name twice", "pool comparador", "name", func(c *tinarchv1.Catalog) { c.Pools = append(c.Pools, c.Pools[0]) }},
		{"bad name", "tenant Porto", "name", func(c *tinarchv1.Catalog) { c.Tenants[0].Name = "Porto" }},
		{"bad digest", "tenant universidade-do-porto", "key_sha256", func(c *tinarchv1.Catalog) { c.Tenants[0].KeySha256[0] = "xyz" }},
		{"shared key", "tenant universidade-do-minho", "key_sha256", func(c *tinarchv1.Catalog) { c.Tenants[1].KeySha256 = c.Tenants[0].KeySha256 }},
	}
	for _, test := range cases {
		catalog := readExample(t)
		test.change(catalog)
		found := false
		for _, violation := range Validate(catalog) {
			found = found || violation.GetObject() == test.object && violation.GetField() == test.field
		}
		if !found {
			t.Errorf("%s: no violation for object %s, field %s, in\n%v", test.name, test.object, test.field, Validate(catalog))
		}
	}
}

func TestParseErrorsNameLineAndField(t *testing.T) {
	for content, want := range map[string]string{
		"pools:\n  - name: p\n    celz: 3\n":         "line 3",
		"pools:\n  - name: p\n    cells: many\n":     "line 3",
		"classes: [{name: c, weight: 1}\n":           "",
		"kinds:\n  - {name: k, deadline_ms: -5}\n":   "line 2",
		"tenants:\n  - {name: t, key_sha256: abc}\n": "line 2",
	} {
		_, err := Parse("file.yaml", []byte(content))
		if result.CodeOf(err) != result.InvalidCatalog || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want InvalidCatalog with %q", content, err, want)
		}
	}
}

func TestMergePutsReplacesAndDeletes(t *testing.T) {
	current := readExample(t)
	change := Change{
		Put:    &tinarchv1.Catalog{Classes: []*tinarchv1.PriorityClass{{Name: "portal", Rank: 99, Weight: 7}}},
		Delete: []*tinarchv1.ObjectReference{{Type: tinarchv1.ObjectType_OBJECT_TYPE_TENANT, Name: "editora-atlantica"}},
	}
	before := proto.Clone(current)
	next, err := Merge(current, change)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(before, current) {
		t.Error("Merge changed its argument")
	}
	if len(next.GetClasses()) != 3 || len(next.GetTenants()) != 2 {
		t.Errorf("%d classes and %d tenants, want 3 and 2", len(next.GetClasses()), len(next.GetTenants()))
	}
	change.Delete[0].Name = "none"
	if _, err := Merge(current, change); result.CodeOf(err) != result.NotFound {
		t.Errorf("deleting an object that does not exist: got %v, want NotFound", err)
	}
	replaced, err := Merge(current, Change{Put: change.Put, Replace: true})
	if err != nil || len(replaced.GetKinds()) != 0 {
		t.Errorf("replace kept %d kinds, want 0; error %v", len(replaced.GetKinds()), err)
	}
}

func TestTenantByKeyNeedsTheExactKey(t *testing.T) {
	snapshot, err := Compile(1, readExample(t))
	if err != nil {
		t.Fatal(err)
	}
	tenant, err := snapshot.TenantByKey("porto-key")
	if err != nil || tenant.GetName() != "universidade-do-porto" {
		t.Errorf("tenant %v and error %v, want universidade-do-porto", tenant, err)
	}
	if _, err := snapshot.TenantByKey("porto-keY"); result.CodeOf(err) != result.Unauthenticated {
		t.Errorf("wrong key: got %v, want Unauthenticated", err)
	}
}

func FuzzParseAndValidate(f *testing.F) {
	f.Add([]byte("pools: [{name: p}]\nmodels: [{name: m, pool: p}]\n"))
	f.Add([]byte("kinds: [{name: k, model: m, deadline_ms: 4294967295, key_window_seconds: 1}]\n"))
	f.Add([]byte("tenants: [{name: t, key_sha256: [00]}]\n"))
	f.Add([]byte("\x00: ["))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse("fuzz.yaml", content)
		if err != nil {
			if result.CodeOf(err) != result.InvalidCatalog {
				t.Fatalf("error without the code InvalidCatalog: %v", err)
			}
			return
		}
		if _, err := Compile(1, parsed); err != nil && result.CodeOf(err) != result.InvalidCatalog {
			t.Fatalf("error without the code InvalidCatalog: %v", err)
		}
	})
}

func routedCatalog() *tinarchv1.Catalog {
	return &tinarchv1.Catalog{
		Services: []*tinarchv1.Service{{Name: "board"}, {Name: "board-next", Slots: 4}},
		Routes: []*tinarchv1.Route{{
			Name: "sync", Host: "match.example", PathPrefix: "/sync/", Kind: tinarchv1.RouteKind_ROUTE_KIND_IDEMPOTENT, TimeoutMs: 3000, MaxAttempts: 2,
			Targets: []*tinarchv1.RouteTarget{{Service: "board", Weight: 90}, {Service: "board-next", Weight: 10}},
		}},
	}
}

func TestCompileRoutes(t *testing.T) {
	snapshot, err := Compile(3, routedCatalog())
	if err != nil {
		t.Fatal(err)
	}
	table, err := snapshot.Routes(routing.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	route := table.Match("match.example:8080", "/sync/7")
	if route == nil || route.Objective != route.Timeout || route.MaxAttempts != 2 || len(route.Targets) != 2 || table.Version != 3 {
		t.Errorf("compiled route is %+v, in table version %d", route, table.Version)
	}
	if snapshot.SlotsOf("board") != defaultSlots || snapshot.SlotsOf("board-next") != 4 {
		t.Errorf("SlotsOf: got %d and %d, want %d and 4", snapshot.SlotsOf("board"), snapshot.SlotsOf("board-next"), defaultSlots)
	}
}

func TestValidateChecksRoutes(t *testing.T) {
	for _, example := range []struct {
		name, object, field string
		change              func(*tinarchv1.Catalog)
	}{
		{"dangling service", "route sync", "targets", func(c *tinarchv1.Catalog) { c.Routes[0].Targets[0].Service = "none" }},
		{"no weight", "route sync", "targets", func(c *tinarchv1.Catalog) { c.Routes[0].Targets = nil }},
		{"host with port", "route sync", "host", func(c *tinarchv1.Catalog) { c.Routes[0].Host = "a:80" }},
		{"prefix without slash", "route sync", "path_prefix", func(c *tinarchv1.Catalog) { c.Routes[0].PathPrefix = "/sync" }},
		{"no kind", "route sync", "kind", func(c *tinarchv1.Catalog) { c.Routes[0].Kind = 0 }},
		{"resumable that does not stream", "route sync", "resumable", func(c *tinarchv1.Catalog) { c.Routes[0].Resumable = true }},
		{"no timeout", "route sync", "timeout_ms", func(c *tinarchv1.Catalog) { c.Routes[0].TimeoutMs = 0 }},
		{"late objective", "route sync", "objective_ms", func(c *tinarchv1.Catalog) { c.Routes[0].ObjectiveMs = 3001 }},
		{"many attempts", "route sync", "max_attempts", func(c *tinarchv1.Catalog) { c.Routes[0].MaxAttempts = 17 }},
		{"priority", "route sync", "priority", func(c *tinarchv1.Catalog) { c.Routes[0].Priority = 10 }},
		{"same place twice", "route again", "path_prefix", func(c *tinarchv1.Catalog) {
			again := proto.Clone(c.Routes[0]).(*tinarchv1.Route)
			again.Name = "again"
			c.Routes = append(c.Routes, again)
		}},
		{"name twice", "service board", "name", func(c *tinarchv1.Catalog) { c.Services = append(c.Services, c.Services[0]) }},
	} {
		catalog := routedCatalog()
		example.change(catalog)
		found := false
		for _, violation := range Validate(catalog) {
			found = found || violation.GetObject() == example.object && violation.GetField() == example.field
		}
		if !found {
			t.Errorf("%s: no such violation in\n%v", example.name, Validate(catalog))
		}
	}
}

func TestMergeRoutes(t *testing.T) {
	changed := routedCatalog()
	changed.Routes[0].TimeoutMs = 1
	merged, err := Merge(routedCatalog(), Change{Put: &tinarchv1.Catalog{Routes: changed.Routes}})
	if err != nil || len(merged.Routes) != 1 || merged.Routes[0].TimeoutMs != 1 || len(merged.Services) != 2 {
		t.Fatalf("after the change: %v, error %v", merged, err)
	}
	merged, err = Merge(merged, Change{Delete: []*tinarchv1.ObjectReference{
		{Type: tinarchv1.ObjectType_OBJECT_TYPE_ROUTE, Name: "sync"}, {Type: tinarchv1.ObjectType_OBJECT_TYPE_SERVICE, Name: "board"},
	}})
	if err != nil || len(merged.Routes) != 0 || len(merged.Services) != 1 {
		t.Errorf("after the deletion: %v, error %v", merged, err)
	}
}
