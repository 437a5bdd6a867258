package serving

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/duty"
)

func TestDutiesAreLeftOnlyWhereCallsAreNotAnsweredForLong(t *testing.T) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	lost, refused := duty.Unanswered(context.DeadlineExceeded), errors.New("the platform's API answered 503")
	for name, example := range map[string]struct {
		// outcomes are those of calls that are a second apart.
		outcomes []error
		left     int
	}{
		"answered":             {[]error{nil, nil, nil, nil, nil}, 0},
		"refused":              {[]error{refused, refused, refused, refused, refused}, 0},
		"not answered":         {[]error{lost, lost, lost, lost}, 1},
		"not for long":         {[]error{lost, lost, lost}, 0},
		"answered in between":  {[]error{lost, lost, refused, lost, lost, nil, lost, lost, lost}, 0},
		"not answered for two": {[]error{lost, lost, lost, lost, lost, lost, lost, lost}, 2},
	} {
		left, now := 0, time.Unix(1_000_000, 0)
		link := &apiLink{log: quiet, leave: func(time.Duration) { left++ }}
		for _, outcome := range example.outcomes {
			link.observe(outcome, now)
			now = now.Add(time.Second)
		}
		if left != example.left {
			t.Errorf("%s: the duties were left %d times", name, left)
		}
	}
}
