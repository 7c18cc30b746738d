package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against configurations and lists that count as fresh, or as old, because the
// time of day of a host jumped: ages are differences of the steady clock.
func TestReadAgesDoNotFollowTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	config, list := d.ReadAges(time.Now())
	is.Equal(config, neverRead)
	is.Equal(list, neverRead)
	noteRead(&d.configRead, time.Now())
	noteRead(&d.listRead, time.Now())
	is.True(hasSteadyReading(*d.configRead.Load()))
	is.True(hasSteadyReading(*d.listRead.Load()))
}

// hasSteadyReading reports whether a time carries a reading of the steady clock, which
// differences are then taken by.
func hasSteadyReading(at time.Time) bool { return strings.Contains(at.String(), " m=") }
