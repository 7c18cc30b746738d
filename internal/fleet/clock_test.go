package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against ages of the configuration and the upstream list that are wrong after
// a jump of the host's wall clock: they are computed from monotonic clock readings.
func TestReadAgesUseTheMonotonicClock(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	config, list := d.ReadAges(time.Now())
	is.Equal(config, neverReadAge)
	is.Equal(list, neverReadAge)
	recordRead(&d.configRead, time.Now())
	recordRead(&d.listRead, time.Now())
	is.True(hasMonotonicReading(*d.configRead.Load()))
	is.True(hasMonotonicReading(*d.listRead.Load()))
}

// hasMonotonicReading reports whether a time includes a monotonic clock reading, which
// time.Time.Sub then uses.
func hasMonotonicReading(at time.Time) bool { return strings.Contains(at.String(), " m=") }
