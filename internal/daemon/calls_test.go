package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// runs counts the runs of all hosts of the plain service.
func (d *deployment) runs() int {
	total := 0
	for _, service := range d.cluster.Services {
		total += service.Counts().Runs
	}
	return total
}

// claimed reports whether the table has a claim row for a key.
func (d *deployment) claimed(key string) bool {
	return d.cluster.Table.Row(external.ClaimKey(testService, key)).Version > 0
}

// TestRefusedCallsAreCounted compares what a caller is told with what the
// service counted, for each place at which a sending can fail.
func TestRefusedCallsAreCounted(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// before breaks something before the call, during while it runs.
		before, during func(*deployment)
		outcome        string // empty when served
		runs           int
	}{
		{name: "no fault", outcome: "", runs: 1},
		{
			name:    "service closes before it runs",
			before:  func(d *deployment) { d.cluster.Services[0].SetKnobs(standin.ServiceKnobs{FailBeforeRun: 1}) },
			outcome: "unknown", runs: 0,
		},
		{
			name:    "service loses the answer",
			before:  func(d *deployment) { d.cluster.Services[0].Faults.Set(standin.Faults{LoseAnswers: 1}) },
			outcome: "unknown", runs: 1,
		},
		{
			name:    "service cuts the answer",
			before:  func(d *deployment) { d.cluster.Services[0].SetKnobs(standin.ServiceKnobs{CutBodies: 1}) },
			outcome: "unknown", runs: 1,
		},
		{
			name:    "service hangs up",
			before:  func(d *deployment) { d.cluster.Services[0].Faults.Set(standin.Faults{Down: true}) },
			outcome: "unknown", runs: 0,
		},
		{
			name:    "sidecar killed during the call",
			before:  func(d *deployment) { d.cluster.Services[0].SetKnobs(standin.ServiceKnobs{RunMS: 1000}) },
			during:  func(d *deployment) { d.sidecars[0].kill() },
			outcome: "unknown", runs: 1,
		},
		{name: "sidecar is dead", outcome: "not-run", runs: 0},
		{
			name: "sidecar is back",
			before: func(d *deployment) {
				d.restartSidecar(0)
				d.eventually("the service answers", func() bool { return d.call(0, "", "probe").status == http.StatusOK })
			},
			outcome: "", runs: 1,
		},
		{
			name: "host is leaving",
			before: func(d *deployment) {
				d.cluster.Hosts.Leave(d.sidecarSettings[0].GetHost())
				d.eventually("the host takes no calls", func() bool { return d.call(0, "", "probe").outcome == "not-run" })
			},
			outcome: "not-run", runs: 0,
		},
	}
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprintf("keyed %v", keyed), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceKnobs{{}}, set: testSet(0)})
			d.eventually("the service answers", func() bool { return d.call(0, "", "probe").status == http.StatusOK })
			for i, tc := range cases {
				d.cluster.Services[0].SetKnobs(standin.ServiceKnobs{})
				d.cluster.Services[0].Faults.Set(standin.Faults{})
				if tc.before != nil {
					tc.before(d)
				}
				key := ""
				if keyed {
					key = fmt.Sprintf("key-%d", i)
				}
				before := d.runs()
				done := make(chan answer, 1)
				go func() { done <- d.call(0, key, "two pallets") }()
				if tc.during != nil {
					d.eventually("the call runs", func() bool { return d.cluster.Services[0].Counts().Running == 1 })
					tc.during(d)
				}
				a := <-done
				if runs := d.runs() - before; a.err != nil || a.outcome != tc.outcome || runs != tc.runs {
					t.Errorf("%s: told %q (status %d, error %v) and ran %d times, want %q and %d: %s",
						tc.name, a.outcome, a.status, a.err, runs, tc.outcome, tc.runs, a.body)
				}
			}
			d.wantOutcomesAddUp()
		})
	}
}

// A call that ran is not sent to the other host of the service, though its
// answer is lost.
func TestLostCallIsNotSentElsewhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceKnobs{{}, {}}, set: testSet(0)})
	for i := range d.cluster.Services {
		d.eventually("the service answers", func() bool {
			return d.call(0, "", "probe").status == http.StatusOK && d.cluster.Services[i].Counts().Runs > 0
		})
	}
	for _, service := range d.cluster.Services {
		service.Faults.Set(standin.Faults{LoseEvery: 1})
	}
	for _, key := range []string{"", "booking-5"} {
		before := d.runs()
		is.Equal(d.call(0, key, "two pallets").outcome, "unknown")
		is.Equal(d.runs()-before, 1)
	}
}

// A router whose host list is old sends calls to a leaving host. Its sidecar,
// which another router has told, refuses them.
func TestLeavingHostRefusesARouterWithAnOldList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, services: []standin.ServiceKnobs{{}, {}}, set: testSet(0)})
	for router := range d.routers {
		d.eventually("the service answers", func() bool { return d.call(router, "", "probe").status == http.StatusOK })
	}
	d.routers[1].freeze()
	d.cluster.Hosts.Leave(d.sidecarSettings[0].GetHost())
	time.Sleep(4 * time.Second) // a read of the list by the other router, and its hand-over
	d.cluster.Hosts.Faults.Set(standin.Faults{Down: true})
	before := d.cluster.Services[0].Counts().Runs
	d.routers[1].thaw()
	for range 20 {
		is.Equal(d.call(1, "", "by an old list").status, http.StatusOK)
	}
	is.Equal(d.cluster.Services[0].Counts().Runs, before)
}

// A router is killed while it holds a claim. Repeats through another router
// never run the call again.
func TestKeyOfAKilledRouterRunsOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		frozen bool // the sidecar takes the call only after the router's death
		runs   int  // the most that the service may count
	}{
		"before the service has the call": {frozen: true, runs: 1},
		"while the call runs":             {runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := deploy(t, deploymentOptions{routers: 2, services: []standin.ServiceKnobs{{RunMS: 500}}, set: testSet(0)})
			for router := range d.routers {
				d.eventually("the service answers", func() bool { return d.call(router, "", "probe").status == http.StatusOK })
			}
			const key = "booking-9"
			if tc.frozen {
				d.sidecars[0].freeze()
			}
			go d.call(0, key, "one pallet")
			d.eventually("the claim is written", func() bool { return d.claimed(key) })
			if !tc.frozen {
				d.eventually("the call runs", func() bool { return d.cluster.Services[0].Counts().ByKey[key] == 1 })
			}
			d.routers[0].kill()
			d.sidecars[0].thaw()
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), answerDeadline)
				a := d.callWithin(ctx, 1, key, "one pallet", 2*time.Second)
				cancel()
				is.NoErr(a.err)
				is.Equal(a.outcome, "unknown")
			}
			is.True(d.cluster.Services[0].Counts().ByKey[key] <= tc.runs)
		})
	}
}
