package engine

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

const (
	maxLoggedEvents  = 1 << 16
	maxLoggedReports = 1 << 12
	maxEventsPerPage = 4096
)

type loggedEvent struct {
	event engine.CacheEvent
	at    time.Time
}

// eventLog holds cache events. It publishes them after a lag, and drops some if dropEvery is
// set.
type eventLog struct {
	lag       time.Duration
	dropEvery uint64
	sequence  uint64
	events    []loggedEvent
}

func (l *eventLog) add(kind engine.CacheEventType, block prefix.Hash) {
	l.sequence++
	if l.dropEvery > 0 && l.sequence%l.dropEvery == 0 {
		return
	}
	l.events = append(l.events, loggedEvent{engine.CacheEvent{Sequence: l.sequence, Type: kind, Block: block}, time.Now()})
	if len(l.events) > maxLoggedEvents {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)/2:]...)
	}
}

func (l *eventLog) page(from uint64) (page []engine.CacheEvent, next uint64) {
	publishedBefore := time.Now().Add(-l.lag)
	next = from
	for _, logged := range l.events {
		if logged.event.Sequence < from {
			continue
		}
		if logged.at.After(publishedBefore) || len(page) == maxEventsPerPage {
			break
		}
		page = append(page, logged.event)
		next = logged.event.Sequence + 1
	}
	return page, next
}

type loggedReport struct {
	load engine.Load
	at   time.Time
}

// reportLog holds load reports and publishes them after a lag.
type reportLog struct {
	lag     time.Duration
	reports []loggedReport
}

func (l *reportLog) add(load engine.Load) {
	now := time.Now()
	if count := len(l.reports); count > 0 && now.Sub(l.reports[count-1].at) < l.lag/16 {
		return
	}
	l.reports = append(l.reports, loggedReport{load, now})
	if len(l.reports) > maxLoggedReports {
		l.reports = append([]loggedReport(nil), l.reports[len(l.reports)/2:]...)
	}
}

func (l *reportLog) published() engine.Load {
	now := time.Now()
	for i := len(l.reports) - 1; i >= 0; i-- {
		age := now.Sub(l.reports[i].at)
		if age >= l.lag {
			load := l.reports[i].load
			load.AgeMillis = age.Milliseconds()
			return load
		}
	}
	return engine.Load{AgeMillis: -1}
}
