package daemon

import (
	"context"
	"fmt"
	"time"
)

// drainer takes no new work after Drain and ends the running work.
type drainer interface {
	Drain()
	Wait(ctx context.Context) error
}

// drainOnStop waits for the stop signal, or for the end of work, and then for
// the running requests.
func drainOnStop(stop, work context.Context, timeout time.Duration, d drainer) error {
	select {
	case <-stop.Done():
	case <-work.Done():
		return nil
	}
	d.Drain()
	waitCtx, cancel := context.WithTimeout(work, timeout)
	defer cancel()
	if err := d.Wait(waitCtx); err != nil {
		return fmt.Errorf("requests still ran at the end of stop_timeout_ms (raise it): %w", err)
	}
	return nil
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
