// Package decisionlog writes a node's log to standard output as JSON lines: one line for each
// decision that concerns a request or changes the state from which the node decides. Writing
// never blocks: lines that find the buffer full are dropped and counted, and the count is
// logged.
package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// bufferedLines is the largest number of lines that wait to be written.
	bufferedLines = 2048
	// batchBytes is the size from which no more lines are added to one write.
	batchBytes = 32 << 10
)

// Log is a logger that never blocks.
type Log struct {
	*logrus.Logger
	writer *asyncWriter
}

// New returns a log that writes lines of at least the given level to out. Close flushes it.
func New(out io.Writer, level logrus.Level) *Log {
	writer := &asyncWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go writer.run(out)
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{Logger: logger, writer: writer}
}

// Dropped returns the number of lines lost because the buffer was full.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// Close writes the buffered lines. It returns after the timeout even if they aren't written.
func (l *Log) Close(timeout time.Duration) {
	l.writer.close()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.writer.done:
	case <-timer.C:
	}
}

type asyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	mu      sync.Mutex
	closed  bool
}

// Write queues a copy of one line, or drops it if the buffer is full. It never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// run writes the queued lines, several at once where more than one waits.
func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		batch := line
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next, open := <-w.lines:
				batch = append(batch, next...)
				more = open
			default:
				more = false
			}
		}
		if dropped := w.dropped.Load(); dropped > reported {
			batch = append(batch, droppedLine(dropped-reported)...)
			reported = dropped
		}
		_, _ = out.Write(batch)
	}
}

func droppedLine(count uint64) []byte {
	entry := logrus.NewEntry(logrus.New())
	entry.Level = logrus.WarnLevel
	entry.Time = time.Now()
	entry.Message = "log lines dropped"
	entry.Data = logrus.Fields{"lines": count}
	line, _ := (&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}).Format(entry)
	return line
}
