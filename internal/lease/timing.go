package lease

import (
	"math/rand/v2"
	"time"
)

// timing derives every waiting time from the time to live, so that they keep
// their order: a holder relies on a lease for less than others wait for it.
type timing struct {
	ttl time.Duration
}

// tick is the period of the loop.
func (t timing) tick() time.Duration { return t.ttl / 20 }

// renewEvery is the period of renewals.
func (t timing) renewEvery() time.Duration { return t.ttl / 4 }

// validFor is how long a holder relies on a renewal, counted from before it
// was sent.
func (t timing) validFor() time.Duration { return t.ttl * 3 / 4 }

// maxRetryDoublings bounds the back-off of takeovers that bring no answer.
const maxRetryDoublings = 3

// retryAfter is the wait after takeovers that brought no answer, so that an
// outage of the table brings no storm of them.
func (t timing) retryAfter(failures int) time.Duration {
	return t.renewEvery() << min(failures, maxRetryDoublings)
}

// callTimeout bounds one commit.
func (t timing) callTimeout() time.Duration { return t.ttl / 4 }

// handoverEvery is the shortest time between two handovers of one holder.
func (t timing) handoverEvery() time.Duration { return t.ttl }

// maxRank bounds how long routers far down the preference order wait.
const maxRank = 8

// rankDelay lets routers try one after another in the order of preference.
func (t timing) rankDelay(rank int) time.Duration {
	return t.ttl / 2 * time.Duration(min(rank, maxRank))
}

// freeAfter is how long a lease without a holder is left to better ranks.
func (t timing) freeAfter(rank int, jitter float64) time.Duration {
	return t.rankDelay(rank) + scale(t.ttl/8, jitter)
}

// staleAfter is how long a row must be unchanged before it is taken over. The
// quarter beyond the time to live is the margin for clocks that drift.
func (t timing) staleAfter(rowTTL time.Duration, rank int, jitter float64) time.Duration {
	return max(rowTTL, t.ttl) + t.ttl/4 + t.rankDelay(rank) + scale(t.ttl/4, jitter)
}

// maxHandoverDoublings bounds the back-off of handovers nobody takes up.
const maxHandoverDoublings = 6

// handoverAfter is how long another router must be preferred before a lease is
// handed over. It doubles with each handover after which the lease came back.
func (t timing) handoverAfter(returned int, jitter float64) time.Duration {
	after := 3 * t.ttl << min(returned, maxHandoverDoublings)
	return after + scale(t.ttl, jitter)
}

// scale returns d times factor, a number in [0, 1).
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// spread returns d changed by up to a tenth either way.
func spread(d time.Duration, random *rand.Rand) time.Duration {
	return d - d/10 + scale(d/5, random.Float64())
}
