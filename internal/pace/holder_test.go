package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that wait for a limit in the order of their arrival, against those that
// wait in vain, and against refused ones that return together.
func TestHolderServesUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := NewHolder()
	h.Note(now, Limit{UpstreamID: "u", StartedMs: 1, Statement: Statement{Notice: Notice{Limited, 1 / useOfLimit}, AskedAt: now, HeardAt: now}})
	now = now.Add(time.Second) // a request is allowed now, the next one a second later
	var decisions []Decision
	submit := func(key uint64, priority int, wait time.Duration, mayWait bool) {
		decisions = append(decisions, h.Submit(now, &Ask{Key: key, Upstreams: []string{"u"}, Priority: priority, Deadline: now.Add(wait), MayWait: mayWait})...)
	}
	submit(1, 5, time.Minute, true)
	is.Equal(len(decisions), 1) // at once
	is.Equal(decisions[0].UpstreamID, "u")
	submit(2, 5, time.Minute, true)
	submit(3, 5, 1500*time.Millisecond, true) // behind 2
	submit(4, 5, time.Minute, false)          // served elsewhere
	submit(5, 0, time.Minute, true)
	submit(6, 9, 1500*time.Millisecond, true)
	submit(7, 9, 1500*time.Millisecond, true)
	refused := map[uint64]time.Duration{}
	for _, d := range decisions[1:] {
		is.Equal(d.UpstreamID, "")
		refused[d.Ask.Key] = d.RetryAfter.Round(time.Millisecond)
	}
	is.Equal(refused, map[uint64]time.Duration{3: 2 * time.Second, 4: 2 * time.Second, 6: 3 * time.Second, 7: 4 * time.Second})
	now = now.Add(1001 * time.Millisecond)
	decisions = h.Tick(now)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Ask.Key, uint64(5)) // before 2, which came earlier
	is.Equal(h.Waiting(), 1)
	h.Withdraw(func(key uint64) bool { return key == 2 })
	is.Equal(h.Waiting(), 0)
}
