package decisionlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const patient = 20 * time.Second

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel)
	log.WithField("id", "x").Info("planned")
	log.Debug("hidden")
	log.Close(patient)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["id"] != "x" || line["msg"] != "planned" || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("%s", out.String())
	}
	log.Info("after the end")
}

// blocked blocks each write until it is released.
type blocked struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blocked) Write(text []byte) (int, error) {
	<-b.release
	return b.out.Write(text)
}

// TestNeverBlocks: an output that takes nothing holds nobody up; what is lost is
// counted and said.
func TestNeverBlocks(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	log := New(out, logrus.InfoLevel)
	const lines = bufferedLines + 100
	for range lines {
		log.Info("line")
	}
	dropped := log.Dropped()
	if dropped == 0 || dropped > 100 {
		t.Errorf("%d lines dropped", dropped)
	}
	close(out.release)
	log.Close(patient)
	if !strings.Contains(out.out.String(), `"msg":"log lines dropped"`) {
		t.Error("the loss isn't said")
	}
}
