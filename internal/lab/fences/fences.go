// Package fences records the calls that a fake platform service receives from lease holders,
// and finds those that violate what fencing tokens guarantee. It serves fakes that refuse stale
// tokens and fakes that don't.
package fences

import (
	"fmt"
	"sync"
	"time"
)

// Call is a call from a lease holder.
type Call struct {
	// Subject is what the call is about; fencing tokens are compared within one subject.
	Subject string
	Holder  string
	Fence   uint64
	At      time.Time
}

// Log records the calls that a fake carried out. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	calls   []Call
	highest map[string]uint64
	// Until these times, calls from a holder, or from all holders, are not checked.
	ignoredUntil    map[string]time.Time
	allIgnoredUntil time.Time
	violations      []string
}

// New returns an empty log.
func New() *Log {
	return &Log{highest: make(map[string]uint64), ignoredUntil: make(map[string]time.Time)}
}

// IgnoreUntil leaves the calls of a holder unchecked until a time. It is for a holder that was
// paused and now resumes: calls that it had begun may still arrive.
func (l *Log) IgnoreUntil(holder string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.ignoredUntil[holder]) {
		l.ignoredUntil[holder] = until
	}
}

// IgnoreAllUntil leaves all calls unchecked until a time. It is for a connection that works
// again, or a pause after which the holder isn't known.
func (l *Log) IgnoreAllUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.allIgnoredUntil) {
		l.allIgnoredUntil = until
	}
}

// RecordUnlessStale records a call for a fake that compares fencing tokens. It reports false,
// for the fake to refuse the call, if a higher token was seen on the same subject.
func (l *Log) RecordUnlessStale(call Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Fence < l.highest[call.Subject] {
		return false
	}
	l.add(call)
	return true
}

// Record records a call for a fake that carries it out whatever its fencing token is. A lower
// token than before on the same subject is a violation.
func (l *Log) Record(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.At.Before(l.allIgnoredUntil) || call.At.Before(l.ignoredUntil[call.Holder]) {
		return
	}
	if highest := l.highest[call.Subject]; call.Fence < highest {
		l.violations = append(l.violations, fmt.Sprintf("%s sent %s with fencing token %d after one with token %d", call.Holder, call.Subject, call.Fence, highest))
	}
	l.add(call)
}

func (l *Log) add(call Call) {
	l.highest[call.Subject] = max(l.highest[call.Subject], call.Fence)
	l.calls = append(l.calls, call)
}

// AddViolation adds a violation that was found elsewhere.
func (l *Log) AddViolation(violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, violation)
}

// Violations returns the violations found: a lower fencing token after a higher one, a token
// that two holders used, and holders that alternated within the lifetime of a lease.
func (l *Log) Violations(lease time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := append([]string(nil), l.violations...)
	holders := make(map[string]string)
	for _, call := range l.calls {
		name := fmt.Sprint(call.Subject, " ", call.Fence)
		if holder, known := holders[name]; known && holder != call.Holder {
			found = append(found, fmt.Sprintf("%s and %s used the same fencing token for %s", holder, call.Holder, name))
		}
		holders[name] = call.Holder
	}
	return append(found, alternations(l.calls, lease)...)
}

// alternations finds holders that acted before and after another one within a time: A, B, A. A
// lease can't change hands that often while it lasts.
func alternations(calls []Call, within time.Duration) []string {
	var violations []string
	for i := range calls {
		other := false
		for j := i + 1; j < len(calls) && calls[j].At.Sub(calls[i].At) < within; j++ {
			other = other || calls[j].Holder != calls[i].Holder
			if other && calls[j].Holder == calls[i].Holder {
				violations = append(violations, fmt.Sprintf("%s acted before and after another holder within %v", calls[i].Holder, within))
				break
			}
		}
	}
	return violations
}
