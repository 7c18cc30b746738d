// Package decisionlog writes structured log lines without ever blocking the
// caller. Lines beyond a rate for each kind, or beyond what a slow reader takes,
// are dropped, counted and reported.
package decisionlog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 4096
	// linesPerSecond and burstLines bound one kind of line.
	linesPerSecond = 400
	burstLines     = 1200
	// reportEvery is the pace of reports on dropped lines.
	reportEvery = 5 * time.Second
)

// Logger writes lines of several kinds.
type Logger struct {
	out     *log.Logger
	queue   chan []byte
	dropped atomic.Uint64

	mu     sync.Mutex
	limits map[string]*rate.Limiter
}

// New makes a logger; call Run to write its lines to w.
func New(level log.Level) *Logger {
	l := &Logger{queue: make(chan []byte, queueLines), limits: make(map[string]*rate.Limiter)}
	l.out = log.NewWithOptions(l, log.Options{
		Level:           level,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
	return l
}

// Write implements io.Writer for the formatter. It never blocks.
func (l *Logger) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case l.queue <- copied:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Start writes the queued lines to w in the background. The function that it
// returns writes what is left and ends that.
func (l *Logger) Start(w io.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, w)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Run writes the queued lines to w until ctx ends, then what is left.
func (l *Logger) Run(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		case <-ticker.C:
			l.reportDrops()
		case <-ctx.Done():
			l.flush(w)
			return
		}
	}
}

func (l *Logger) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		l.dropped.Add(1)
	}
}

func (l *Logger) flush(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		default:
			return
		}
	}
}

func (l *Logger) reportDrops() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.Warn("log lines dropped", "count", n)
	}
}

func (l *Logger) allow(kind string) bool {
	l.mu.Lock()
	limit := l.limits[kind]
	if limit == nil {
		limit = rate.NewLimiter(linesPerSecond, burstLines)
		l.limits[kind] = limit
	}
	l.mu.Unlock()
	if limit.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// Info writes a line of a kind; keyvals are pairs of names and values.
func (l *Logger) Info(kind string, keyvals ...any) {
	if l.allow(kind) {
		l.out.Info(kind, keyvals...)
	}
}

// Warn writes a line about something that an operator may have to look at.
func (l *Logger) Warn(kind string, keyvals ...any) {
	if l.allow(kind) {
		l.out.Warn(kind, keyvals...)
	}
}
