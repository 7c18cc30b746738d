// Package progress limits how long a call may move no data, instead of how long it may
// take in all. A response that is large, or arrives over a slow link, is read to its end;
// a silent connection is given up soon.
package progress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// errSilent is the cause of the contexts that a Watch ends.
var errSilent = fmt.Errorf("no data moved: %w", context.DeadlineExceeded)

// Watch ends a call that makes no progress.
type Watch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
}

type watchKey struct{}

// WithTimeout returns a context for a call that ends once no data has moved for silence,
// and a watch of it. The data passes through Reader; the caller stops the watch after the
// call.
func WithTimeout(ctx context.Context, silence time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{cancel: cancel, silence: silence}
	w.ctx = context.WithValue(ctx, watchKey{}, w)
	w.timer = time.AfterFunc(silence, func() { cancel(errSilent) })
	return w.ctx, w
}

// Reader returns a reader of r whose data counts as progress of the call that ctx belongs
// to; r itself if the call has no watch.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(watchKey{}).(*Watch)
	if !ok {
		return r
	}
	return &reader{watch: w, from: r}
}

// Stop releases the resources of the watch.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Err returns the error of the call. If the watch has ended it, the error says so and
// wraps context.DeadlineExceeded, too.
func (w *Watch) Err(err error) error {
	if err == nil || !errors.Is(context.Cause(w.ctx), errSilent) {
		return err
	}
	return fmt.Errorf("silent for %s: %w: %w", w.silence, errSilent, err)
}

type reader struct {
	watch *Watch
	from  io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && r.watch.ctx.Err() == nil {
		r.watch.timer.Reset(r.watch.silence)
	}
	return n, err
}
