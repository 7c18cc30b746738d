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
		r.Note(now, Limit{UpstreamID: "u", StartedMs: 1, Statement: Statement{Notice: Notice{kind, perSecond}, AskedAt: now, HeardAt: now}})
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

// Guards against an order that never goes out at a limited upstream because the reads of its
// inventory, which are repeated meanwhile, take what is allowed.
func TestReportsLeaveOrdersTheirPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRouter("r")
	r.Note(now, Limit{UpstreamID: "u", StartedMs: 1, Statement: Statement{Notice: Notice{Limited, 0.5}, AskedAt: now, HeardAt: now}})
	orders, reports, window := 0, 0, 0
	const seconds = 120
	for tenths := range seconds * 10 {
		if r.AllowReport(now, "u") {
			reports++
		}
		if tenths%5 == 0 && r.AllowOrder(now, "u") {
			orders++
		}
		if tenths%40 == 39 { // the rule's window
			is.True(orders+reports-window <= int(4*0.5*1.5+5))
			window = orders + reports
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(orders >= seconds/5)
	is.True(reports >= seconds/6)
}
