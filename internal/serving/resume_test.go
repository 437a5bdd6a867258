package serving

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

type fakeStandby struct {
	steppedBack bool
	resumed     int
}

func (s *fakeStandby) SteppedBack() bool { return s.steppedBack }

func (s *fakeStandby) Resume() {
	s.steppedBack = false
	s.resumed++
}

// TestNodeResumesOnceTheStoreAnswers guards against an earlier build that takes the duties over
// after an outage, since the nodes of this build still step back.
func TestNodeResumesOnceTheStoreAnswers(t *testing.T) {
	for _, example := range []struct {
		name        string
		answers     []bool
		steppedBack bool
		want        int
	}{
		{"the store answers", []bool{false, true, true}, true, 1},
		{"answers between failures", []bool{true, false, true, false}, true, 0},
		{"it hasn't stepped back", []bool{true, true, true}, false, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := &fakeStandby{steppedBack: example.steppedBack}
				ticks, asked := make(chan time.Time), 0
				answer := func(context.Context) bool { asked++; return example.answers[asked-1] }
				log := logrus.New()
				log.SetOutput(io.Discard)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go resumeDuties(ctx, ticks, node, answer, log)
				for range example.answers {
					ticks <- time.Time{}
					synctest.Wait()
				}
				if node.resumed != example.want {
					t.Errorf("resumed %d times, want %d", node.resumed, example.want)
				}
			})
		})
	}
}
