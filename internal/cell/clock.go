package cell

import (
	"time"

	"golang.org/x/sys/unix"
)

// newBootClock returns a clock that also runs while the host is suspended. The readings
// of time.Now do not show a suspension: its monotonic clock stands still.
func newBootClock() func() time.Time {
	start := time.Now()
	startBoot, err := sinceBoot()
	if err != nil {
		return time.Now // a kernel without this clock
	}
	return func() time.Time {
		boot, err := sinceBoot()
		if err != nil {
			return time.Now()
		}
		return start.Add(boot - startBoot)
	}
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
