package fences

import (
	"testing"
	"time"
)

const lease = 3 * time.Second

var origin = time.Unix(1000, 0)

func call(holder string, fence uint64, second float64) Call {
	return Call{Subject: "s", Holder: holder, Fence: fence, At: origin.Add(time.Duration(second * float64(time.Second)))}
}

// TestBrokenPromisesAreFound: stale fencing tokens, tokens that two holders share and
// alternating holders are reported, and calls that are excused are not.
func TestBrokenPromisesAreFound(t *testing.T) {
	other := call("b", 1, 1)
	other.Subject = "another"
	for _, example := range []struct {
		name   string
		calls  []Call
		excuse func(l *Log)
		broken int
	}{
		{"one holder", []Call{call("a", 1, 0), call("a", 1, 1)}, nil, 0},
		{"the next holder", []Call{call("a", 1, 0), call("b", 2, 1)}, nil, 0},
		{"a late call", []Call{call("a", 1, 0), call("b", 2, 4), call("a", 1, 8)}, nil, 1},
		{"alternating holders", []Call{call("a", 1, 0), call("b", 2, 1), call("a", 3, 2)}, nil, 1},
		{"slowly alternating holders", []Call{call("a", 1, 0), call("b", 2, 2), call("a", 3, 4)}, nil, 0},
		{"two holders with one token", []Call{call("a", 1, 0), call("b", 1, 4)}, nil, 1},
		{"two subjects", []Call{call("a", 2, 0), other}, nil, 0},
		{"late after a pause", []Call{call("b", 2, 4), call("a", 1, 8)}, func(l *Log) { l.IgnoreUntil("a", origin.Add(9*time.Second)) }, 0},
		{"late after another holder's pause", []Call{call("b", 2, 4), call("a", 1, 8)}, func(l *Log) { l.IgnoreUntil("b", origin.Add(3*time.Second)) }, 1},
		{"late long after a pause", []Call{call("b", 2, 4), call("a", 1, 8)}, func(l *Log) { l.IgnoreUntil("a", origin.Add(7*time.Second)) }, 1},
		{"late after the connection works again", []Call{call("b", 2, 4), call("a", 1, 8)}, func(l *Log) { l.IgnoreAllUntil(origin.Add(9 * time.Second)) }, 0},
	} {
		l := New()
		if example.excuse != nil {
			example.excuse(l)
		}
		for _, c := range example.calls {
			l.Record(c)
		}
		if violations := l.Violations(lease); len(violations) != example.broken {
			t.Errorf("%s: %v", example.name, violations)
		}
	}
}
