package decisionlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const closeTimeout = 20 * time.Second

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel)
	log.WithField("id", "x").Info("planned")
	log.Debug("hidden")
	log.Close(closeTimeout)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["id"] != "x" || line["msg"] != "planned" || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("want one line for the message 'planned', got: %s", out.String())
	}
	log.Info("after Close")
}

// blockingWriter signals that the first write has started, and blocks each write until it is
// released.
type blockingWriter struct {
	started chan struct{}
	once    sync.Once
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockingWriter) Write(text []byte) (int, error) {
	b.once.Do(func() { close(b.started) })
	<-b.release
	return b.out.Write(text)
}

// TestFullBufferDropsLinesWithoutBlocking: an output that accepts nothing blocks no caller, and
// the number of dropped lines is counted and logged. The test waits until the writer has taken
// the first line from the buffer, so that the number of dropped lines is exact.
func TestFullBufferDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockingWriter{started: make(chan struct{}), release: make(chan struct{})}
	log := New(out, logrus.InfoLevel)
	log.Info("first line")
	<-out.started
	const lost = 100
	for range bufferedLines + lost {
		log.Info("line")
	}
	if dropped := log.Dropped(); dropped != lost {
		t.Errorf("%d lines dropped, want %d", dropped, lost)
	}
	close(out.release)
	log.Close(closeTimeout)
	if !strings.Contains(out.out.String(), `"msg":"log lines dropped"`) {
		t.Error("the number of dropped lines isn't logged")
	}
}
