// Package pace keeps the requests to an upstream within the rate limit that the upstream names
// in its responses, summed over all routers. It does no I/O and reads no clock.
//
// An upstream in need names a limit in requests a second, for as long as it says so. Routers
// report what they hear to the router that schedules. There a Holder issues the requests to
// limited upstreams one by one, urgent ones first, at the pace of the limit. A Router stands for
// one router: it knows the limits, and while no scheduler is connected it sends no more than a
// share that the last Holder assigned to it.
package pace

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxPerSecond is the highest rate that counts as a limit; higher ones are reduced to it.
const MaxPerSecond = 1e6

// Kind is what a response says about a limit.
type Kind int

const (
	// Unlimited means that the response names no limit.
	Unlimited Kind = iota
	// Limited means that it names a limit.
	Limited
	// Unreadable means that it names something that is not a rate. It changes nothing.
	Unreadable
)

// Notice is what one response says about the limit of its upstream.
type Notice struct {
	Kind Kind
	// PerSecond is the limit of all routers together, in requests a second.
	PerSecond float64
}

// ParseNotice reads the values of a header that names a limit as a decimal number.
func ParseNotice(values []string) Notice {
	switch len(values) {
	case 0:
		return Notice{}
	case 1:
	default:
		return Notice{Kind: Unreadable}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Notice{Kind: Unreadable}
	}
	return Notice{Kind: Limited, PerSecond: min(rate, MaxPerSecond)}
}

// Statement is a notice with the times that order it among others.
type Statement struct {
	Notice
	// AskedAt is when the request was sent, HeardAt when the head of its response arrived.
	AskedAt, HeardAt time.Time
	// Control is set for the response to an order or a read of an inventory. One without a
	// limit ends the limit only if others have named it.
	Control bool
}
