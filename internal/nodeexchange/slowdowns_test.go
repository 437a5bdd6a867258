package nodeexchange

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/worker"
)

func TestStatementsAndReadingsSurviveEncoding(t *testing.T) {
	now := time.Now()
	reading := latency.Reading{Tokens: 900, Context: 40, Elapsed: 153 * time.Millisecond, Slowdown: 0.7}
	snapshot := worker.Snapshot{
		Hosts:    map[string]worker.HostStatement{"w": {Factor: 1.75, At: now.Add(-80 * time.Millisecond)}, "x": {Factor: 0.7, At: now}},
		Readings: []worker.WorkerReading{{Worker: "w", Reading: reading}},
	}
	datagram, err := json.Marshal(newMessage(Message{Node: "n"}, snapshot.ForWorkers([]string{"w"})))
	if err != nil {
		t.Fatal(err)
	}
	message, err := decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	statements := parseSlowdowns(message.Slowdowns, now)
	if len(statements) != 1 || statements["w"].Factor != 1.75 || now.Sub(statements["w"].At) < 80*time.Millisecond {
		t.Errorf("the statements arrive as %v", statements)
	}
	if diff := cmp.Diff(snapshot.Readings, parseReadings(message.Readings)); diff != "" {
		t.Error(diff)
	}
}

// Messages of an older build lack the fields, and a node that has nothing to tell leaves them
// out.
func TestMessagesWithoutStatementsAreAsBefore(t *testing.T) {
	datagram, err := json.Marshal(newMessage(Message{Node: "n", Sequence: 1}, worker.Snapshot{}))
	if err != nil || string(datagram) != `{"n":"n","s":1}` {
		t.Errorf("%s, %v", datagram, err)
	}
	answer, err := json.Marshal(reply{ID: 1})
	if err != nil || string(answer) != `{"i":1}` {
		t.Errorf("%s, %v", answer, err)
	}
	message, err := decode(datagram)
	if err != nil || parseSlowdowns(message.Slowdowns, time.Now()) != nil || parseReadings(message.Readings) != nil {
		t.Errorf("%+v, %v", message, err)
	}
}

func TestImpossibleStatementsAndReadingsAreLeftOut(t *testing.T) {
	text := `{"n":"n","hs":{"a":[0,1],"b":[-700,1],"c":[700,-1],"d":[100001,1],"e":[700],"f":[],"g":[700,1,9],"h":[700,3600001]},
		"rd":{"a":[[0,0,0,1,1],[1,-1,0,1,1],[1,0,-1,1,1],[1,0,0,0,1],[1,0,0,1,0],[1,0,0,1,100001],[1],[2,0,0,5,700,8]],
		"b":[[10000001,0,0,1,1],[1,0,0,3600000001,1]]}}`
	message, err := decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	statements := parseSlowdowns(message.Slowdowns, time.Now())
	if len(statements) != 2 || statements["e"].Factor != 0.7 || statements["g"].Factor != 0.7 {
		t.Errorf("the statements are %v; want those of e and g", statements)
	}
	if readings := parseReadings(message.Readings); len(readings) != 1 || readings[0].Reading.Tokens != 2 {
		t.Errorf("the readings are %v; want the one of 2 tokens", readings)
	}
	for _, malformed := range []string{`{"n":"n","hs":{"a":["x",1]}}`, `{"n":"n","rd":{"a":[1]}}`} {
		if _, err := decode([]byte(malformed)); err == nil {
			t.Errorf("%s was accepted", malformed)
		}
	}
}

// The answer to a question brings the last statement, so that a node that tracks neither the
// worker's load nor its host plans with it.
func TestAnswersBringStatements(t *testing.T) {
	home, asking := newRegistry("w"), newRegistry("w")
	home.ObserveHostSlowdown("w", 1.75, time.Now())
	answer := reply{Slowdowns: renderSlowdowns(home.HostStatements([]string{"w", "none"}), time.Now())}
	asking.MergeHostStatements(parseSlowdowns(answer.Slowdowns, time.Now()))
	if factor := asking.HostFactor("w", time.Now()); factor.Usual != 1.75 || !asking.Uneven("s") {
		t.Errorf("the asking node expects %+v", factor)
	}
}
