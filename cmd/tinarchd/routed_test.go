package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/decisionlog"
	"github.com/tinarch/tinarch/internal/settings"
)

const example = "../../examples/routed-node.yaml"

func TestRoutedSettingsAreChecked(t *testing.T) {
	if status := runRouted(settings.Flags{Config: example, CheckOnly: true}); status != 0 {
		t.Errorf("with the example file the exit status is %d", status)
	}
	if status := runRouted(settings.Flags{}); status != 7 {
		t.Errorf("without a file the exit status is %d, want that of SettingsInvalid", status)
	}
	if status := runRouted(settings.Flags{Config: "none.yaml"}); status != 7 {
		t.Errorf("with a file that does not exist the exit status is %d", status)
	}
}

// TestReload: an invalid file changes nothing, a valid one does, and signals other than SIGHUP
// end the wait.
func TestReload(t *testing.T) {
	content, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte("broken: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := decisionlog.New(&out, logrus.InfoLevel)
	reload(path, log)
	if log.GetLevel() != logrus.InfoLevel {
		t.Error("an invalid file changed the level")
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(content), "level: info", "level: debug", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	if got := awaitStop(signals, path, log); got != syscall.SIGTERM {
		t.Errorf("awaitStop returned %v, want SIGTERM", got)
	}
	if log.GetLevel() != logrus.DebugLevel {
		t.Error("the level in the settings file was not applied")
	}
	log.Close(20 * time.Second)
	for _, part := range []string{"not reloaded", "7001", `"msg":"settings reloaded"`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is not logged:\n%s", part, out.String())
		}
	}
}
