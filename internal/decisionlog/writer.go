// Package decisionlog writes logfmt lines without ever blocking the code that logs.
// It drops lines that exceed the rate limit of their kind (their message), that
// find the queue full because the reader is slow, or that fail to be written;
// it counts dropped lines and logs the count.
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
	// queueLines limits the lines that wait for a slow reader.
	queueLines = 4096
	// maxValueBytes and maxLineBytes limit what a value and a line take: callers choose the
	// lengths of ids.
	maxValueBytes = 512
	maxLineBytes  = 4 << 10
	// linesPerSecond and burstLines limit the rate of each kind of line.
	linesPerSecond = 400
	burstLines     = 1200
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = 5 * time.Second
)

// Logger queues log lines for Run. Its methods may be called concurrently.
type Logger struct {
	out     *log.Logger
	queue   chan []byte
	dropped atomic.Uint64

	mu     sync.Mutex
	limits map[string]*rate.Limiter
}

// New returns a logger; its lines stay queued until Run or Start writes them.
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

// Write implements io.Writer for the formatter: it queues a copy of the line, or drops
// the line when the queue is full or the line too long. It never blocks.
func (l *Logger) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes {
		l.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case l.queue <- copied:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Start calls Run in the background. The returned function stops it and returns when
// all queued lines are written.
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

// Run writes queued lines to w until ctx is done, then those that are still queued.
func (l *Logger) Run(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(dropReportInterval)
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

// allow applies the rate limit of a kind; it counts the line as dropped if it returns
// false.
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

// shortened cuts long values.
func shortened(keyvals []any) []any {
	for i, value := range keyvals {
		if err, ok := value.(error); ok && err != nil {
			value = err.Error()
		}
		if s, ok := value.(string); ok && len(s) > maxValueBytes {
			keyvals[i] = s[:maxValueBytes] + "..."
		}
	}
	return keyvals
}

// Info logs a line; kind is its message and selects the rate limit, keyvals
// alternate keys and values.
func (l *Logger) Info(kind string, keyvals ...any) {
	if l.allow(kind) {
		l.out.Info(kind, shortened(keyvals)...)
	}
}

// Warn is like Info, for conditions that may need an operator's attention.
func (l *Logger) Warn(kind string, keyvals ...any) {
	if l.allow(kind) {
		l.out.Warn(kind, shortened(keyvals)...)
	}
}
