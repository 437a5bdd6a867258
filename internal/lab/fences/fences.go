// Package fences follows the calls that a stand-in receives from the holders of a lease, and
// finds those that break what fences promise. It serves stand-ins that compare fences and
// those that don't.
package fences

import (
	"fmt"
	"sync"
	"time"
)

// Call is a call of a holder.
type Call struct {
	// Subject is what the call is about: a lower fence counts within one subject.
	Subject string
	Holder  string
	Fence   uint64
	At      time.Time
}

// Log is the calls that a stand-in took. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	calls   []Call
	highest map[string]uint64
	// excused is until when calls of holders don't count, and all until when none do.
	excused map[string]time.Time
	all     time.Time
	broken  []string
}

// New returns an empty log.
func New() *Log {
	return &Log{highest: make(map[string]uint64), excused: make(map[string]time.Time)}
}

// IgnoreUntil has calls of a holder not count until a moment: it was paused, and is going on.
func (l *Log) IgnoreUntil(holder string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.excused[holder]) {
		l.excused[holder] = until
	}
}

// IgnoreAllUntil has no call count until a moment: a link is mended, or any holder may have been
// paused.
func (l *Log) IgnoreAllUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.all) {
		l.all = until
	}
}

// RecordUnlessStale takes a call in as a stand-in does that compares fences: it reports false
// for a lower fence than one before on its subject, which is refused.
func (l *Log) RecordUnlessStale(call Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Fence < l.highest[call.Subject] {
		return false
	}
	l.take(call)
	return true
}

// Record takes a call in that is carried out whatever its fence. A lower one than before
// breaks a promise.
func (l *Log) Record(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.At.Before(l.all) || call.At.Before(l.excused[call.Holder]) {
		return
	}
	if highest := l.highest[call.Subject]; call.Fence < highest {
		l.broken = append(l.broken, fmt.Sprintf("%s sent %s under fence %d, after one under %d", call.Holder, call.Subject, call.Fence, highest))
	}
	l.take(call)
}

func (l *Log) take(call Call) {
	l.highest[call.Subject] = max(l.highest[call.Subject], call.Fence)
	l.calls = append(l.calls, call)
}

// AddViolation adds a promise that was seen broken otherwise.
func (l *Log) AddViolation(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, problem)
}

// Violations returns the promises that were broken: a lower fence after a higher one, one
// fence of two holders, and holders that took turns within the life of a lease.
func (l *Log) Violations(lease time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	problems := append([]string(nil), l.broken...)
	holders := make(map[string]string)
	for _, call := range l.calls {
		name := fmt.Sprint(call.Subject, " ", call.Fence)
		if holder, known := holders[name]; known && holder != call.Holder {
			problems = append(problems, fmt.Sprintf("%s and %s used the same fence for %s", holder, call.Holder, name))
		}
		holders[name] = call.Holder
	}
	return append(problems, turns(l.calls, lease)...)
}

// turns finds holders that acted A, B, A within a time.
func turns(calls []Call, within time.Duration) []string {
	var problems []string
	for i := range calls {
		other := false
		for j := i + 1; j < len(calls) && calls[j].At.Sub(calls[i].At) < within; j++ {
			other = other || calls[j].Holder != calls[i].Holder
			if other && calls[j].Holder == calls[i].Holder {
				problems = append(problems, fmt.Sprintf("%s acted before and after another within %v", calls[i].Holder, within))
				break
			}
		}
	}
	return problems
}
