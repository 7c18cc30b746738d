package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: a workspace asks for five times its quota, most of it in requests that cost forty times as
// much as the others. Guards against the cheap ones being refused along with them.
func TestLightRequestsAreNotCrowdedOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := NewDealer()
	d.SetQuotas(now, map[string]Quota{"w": {PerSecond: 1000, Burst: 1000}})
	now = now.Add(time.Second)
	granted, asked := map[bool]float64{}, map[bool]float64{}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		grants := d.Tick(now)
		for _, light := range []bool{false, true} {
			cost := 49.0
			if light {
				cost = 1
			}
			asked[light] += cost
			grants = append(grants, d.Ask(now, &QuotaAsk{Workspace: "w", First: cost, All: cost, Until: now, Light: light})...)
		}
		for _, g := range grants {
			granted[g.Light] += g.Amount
		}
	}
	is.Equal(granted[true], asked[true])
	is.True(granted[false] >= 0.9*(10*1000-asked[true])) // and the quota is used
	is.True(granted[true]+granted[false] <= 11*1000)
}

// What a quota is used for depends on its rate, not on how large a request is.
func TestRequestLargerThanTheBurstIsLent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := NewDealer()
	d.SetQuotas(now, map[string]Quota{"w": {PerSecond: 100, Burst: 100}})
	ask := func() []QuotaGrant {
		return d.Ask(now, &QuotaAsk{Workspace: "w", First: 500, All: 500, Until: now})
	}
	is.Equal(ask()[0].Amount, 0.0) // the bucket is empty at first
	now = now.Add(time.Second)
	is.Equal(ask()[0].Amount, 500.0)
	refused := ask()[0]
	is.Equal(refused.Amount, 0.0)
	is.True(refused.RetryAfter >= 5*time.Second-time.Millisecond) // 400 are owed, and the bucket must be full
	now = now.Add(5*time.Second + time.Millisecond)
	is.Equal(ask()[0].Amount, 500.0)
}

func TestPartsAddUpToOne(t *testing.T) {
	const known = 27
	alone := aloneShare / known
	for connected := range known + 1 {
		rest := known - connected
		fresh := Part(PartInputs{Connected: connected, Known: known, Unseen: rest, LeaseFresh: true})
		stale := Part(PartInputs{Connected: rest, Known: known})
		if sum := fresh + stale; connected > 0 && sum > 1.0001 {
			t.Errorf("%d routers with a new dealer: %.3f, the others with the old one: %.3f", connected, fresh, stale)
		}
		lost := Part(PartInputs{Connected: connected, Known: known, LeaseFresh: true})
		if sum := lost + float64(rest)*alone; sum > 1.0001 {
			t.Errorf("%d routers with a dealer, the others alone: %.3f", connected, sum)
		}
	}
}

// Guards against parts of a request that are dealt and get lost: amounts are whole in messages.
func TestQuotaInRequestsIsUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := NewDealer()
	d.SetQuotas(now, map[string]Quota{"w": {PerSecond: 3, Burst: 2}})
	granted := int64(0)
	const seconds = 100
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, g := range d.Ask(now, &QuotaAsk{Workspace: "w", First: 1, All: 4, Spare: 2, Until: now, Light: true}) {
			granted += int64(g.Amount)
		}
	}
	is.True(granted >= 9*3*seconds/10)
	is.True(granted <= 3*seconds+2)
}
