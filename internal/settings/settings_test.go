package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tinarch/tinarch/internal/result"
)

const validExample = `node:
  name: node-1
  zone: lisbon-a
listen:
  callers: 127.0.0.1:0
cluster:
  id: verifica
platform:
  table:
    endpoint: http://127.0.0.1:1
    name: tinarch
  objects:
    endpoint: http://127.0.0.1:2
    bucket: tinarch
  machines:
    url: http://127.0.0.1:3
`

func TestValidFilePasses(t *testing.T) {
	settings, source, err := Parse("node.yaml", []byte(validExample))
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.Check(source); err != nil {
		t.Error(err)
	}
	if settings.Limits.MaxBodyBytes != Default().Limits.MaxBodyBytes {
		t.Error("limits.max_body_bytes does not have its default")
	}
}

func TestErrorsNameLineAndKey(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"unknown key", "  zone: lisbon-a", "  zoen: lisbon-a", []string{"line 3", "zoen"}},
		{"wrong type", "  id: verifica", "  ledger_groups: many", []string{"line 7", "many"}},
		{"bad address", "127.0.0.1:0", "localhost", []string{"line 5", "listen.callers", "localhost"}},
		{"bad name", "  name: node-1", "  name: Node One", []string{"line 2", "node.name"}},
		{"much for callers", "cluster:", "limits: {memory_mb: 144, client_memory_mb: 73}\ncluster:", []string{"limits.client_memory_mb", "73", "72"}},
		{"little memory", "cluster:", "limits: {memory_mb: 16, client_memory_mb: 8}\ncluster:", []string{"limits.memory_mb", "16", "32"}},
		{"missing", "    bucket: tinarch\n", "", []string{"platform.objects.bucket", "missing"}},
	}
	for _, test := range cases {
		settings, source, err := Parse("node.yaml", []byte(strings.Replace(validExample, test.from, test.to, 1)))
		if err == nil {
			err = settings.Check(source)
		}
		if result.CodeOf(err) != result.SettingsInvalid {
			t.Errorf("%s: error %v, want the code SettingsInvalid", test.name, err)
			continue
		}
		for _, part := range test.want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: error %q does not contain %q", test.name, err, part)
			}
		}
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(validExample), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := Flags{Config: path, NodeName: "node-2", LogLevel: "debug"}.Resolve()
	if err != nil || settings.Node.Name != "node-2" || settings.Log.Level != "debug" || settings.Node.Zone != "lisbon-a" {
		t.Errorf("settings %+v, error %v", settings, err)
	}
	if _, err := (Flags{Config: path, LogLevel: "loud"}).Resolve(); result.CodeOf(err) != result.SettingsInvalid {
		t.Errorf("an invalid flag was accepted: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validExample))
	f.Add([]byte("node: [1]\n"))
	f.Add([]byte("node:\n  name: *x\n"))
	f.Add([]byte("limits: {max_body_bytes: 99999999999999999999}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, source, err := Parse("fuzz.yaml", content)
		if err == nil {
			err = settings.Check(source)
		}
		if err != nil && result.CodeOf(err) != result.SettingsInvalid {
			t.Fatalf("error without the code SettingsInvalid: %v", err)
		}
	})
}
