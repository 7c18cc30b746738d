package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against retries of a service in trouble above what the platform's rule allows all
// routers together: a share of its requests and some more in each window.
func TestRetryBudgetsOfAFleetAddUp(t *testing.T) {
	const (
		share  = 0.2
		slack  = 52
		window = 10 // seconds
	)
	for _, c := range []struct {
		routers   int
		perSecond float64 // of each router, to the service that fails
	}{{1, 8}, {4, 2}, {5, 6}, {16, 2}, {30, 1}, {100, 1}, {300, 1}} {
		t.Run(fmt.Sprintf("%d routers", c.routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var fleet []*retryBudgets
				for range c.routers {
					b := newRetryBudgets(share)
					b.setRouters(c.routers)
					fleet = append(fleet, b)
				}
				requests, retries := 0, 0
				for second := range 60 + window {
					for _, b := range fleet {
						for range 40 {
							b.of("busy").RecordCall()
						}
						for i := float64(0); i < c.perSecond; i++ {
							budget := b.of("failing")
							budget.RecordCall()
							if second >= 60 {
								requests++
								if budget.AllowRetry() {
									retries++
								}
							}
						}
					}
					time.Sleep(time.Second)
				}
				if allowed := share*float64(requests) + slack; float64(retries) > allowed {
					t.Errorf("%d retries of %d requests, allowed %g", retries, requests, allowed)
				}
			})
		})
	}
}
