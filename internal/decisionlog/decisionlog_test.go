package decisionlog

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Guards against requests that block on logging when the reader of standard output
// stops reading: lines must be dropped and counted instead.
func TestBlockedReaderDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l := New(log.InfoLevel)
	stop := l.Start(out)
	kinds := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	const lines = 20_000
	began := time.Now()
	for i := range lines {
		l.Info(kinds[i%len(kinds)], "n", i)
	}
	is.True(time.Since(began) < 20*time.Second) // it would hang otherwise
	dropped := l.dropped.Load()
	is.True(dropped >= lines-queueLines-uint64(1))
	l.reportDrops()
	close(out.release)
	stop()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.lines.String(), "\n")
	is.True(uint64(written) <= lines-dropped+1)
}

// Guards against a frequent kind of line that uses up the rate of others.
func TestRateLimitIsPerKind(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(log.InfoLevel)
	for range 3 * burstLines {
		l.Info("noisy")
	}
	l.Info("rare", "id", "r-1")
	l.reportDrops()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, &out)
	text := out.String()
	is.True(strings.Count(text, "noisy") < 2*burstLines)
	is.Equal(strings.Count(text, "msg=rare id=r-1"), 1)
	is.True(strings.Contains(text, `msg="log lines dropped" count=`))
}

// BenchmarkLine logs a "request" line, within the rate limit of its kind and beyond.
func BenchmarkLine(b *testing.B) {
	for name, limit := range map[string]rate.Limit{"written": rate.Inf, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			l := New(log.InfoLevel)
			l.limits["request"] = rate.NewLimiter(limit, 0)
			defer l.Start(io.Discard)()
			for b.Loop() {
				l.Info("request", "id", "0123456789abcdef", "outcome", "served", "status", 200, "route", "r-1", "service", "s", "config", 3,
					"upstream", "i-0123456789", "sends", 1, "took_ms", 12.5, "model", "m", "waited_ms", 0.4, "events", 40)
			}
		})
	}
}

// Guards against lines that wait for a slow reader and take as much memory as callers choose.
func TestLongValuesAreCut(t *testing.T) {
	l := New(log.InfoLevel)
	long := strings.Repeat("x", 30<<10)
	for range 100 {
		l.Info("request", "id", long, "err", errors.New(long), "path", "/x")
	}
	if len(l.queue) != 100 {
		t.Fatalf("%d lines are queued, want 100", len(l.queue))
	}
	for len(l.queue) > 0 {
		if line := <-l.queue; len(line) > maxLineBytes || !strings.HasSuffix(string(line), " path=/x\n") {
			t.Fatalf("a line of %d bytes is queued", len(line))
		}
	}
}
