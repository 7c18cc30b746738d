package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a share of a limit that has fallen or ended since it was assigned.
func TestShareFollowsTheLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRouter("r")
	note := func(kind Kind, perSecond float64) {
		now = now.Add(time.Second)
		r.Note(now, Limit{UpstreamID: "u", StartedMs: 1, Statement: Statement{Notice{kind, perSecond}, now, now}})
	}
	sent := func() int { // in 10 s
		n := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			if r.TakeAlone(now, "u") {
				n++
			}
		}
		return n
	}
	is.Equal(sent(), 1000) // no limit
	note(Limited, 10)
	r.SetShares(now, 3, map[string]float64{"u": 8})
	is.Equal(sent(), int(10*8*useAlone))
	note(Limited, 2)
	is.True(sent() <= int(10*2*useAlone)+1)
	note(Unlimited, 0)
	is.Equal(sent(), 1000)
	note(Limited, 2)
	r.SetShares(now, 300, map[string]float64{"u": 0})
	is.Equal(sent(), 0)
}
