package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

// notices are what upstreams say about themselves in responses to requests, orders and
// reads of inventories.
type notices struct {
	pauses *pauses
	limits *pace.Router
	// startedMs returns the start time of an upstream's incarnation, 0 if it is not known.
	startedMs func(upstreamID string) int64
	// onLeaving is called when an upstream says that it is about to leave. It marks the
	// upstream as draining before it returns.
	onLeaving func(upstreamID, requestID string)
	// onLimit is called when this router heard of a limit, of its change or its end.
	onLimit func(limit pace.Limit)
	log     *Log
}

// take takes in the head of the response to a request that was sent at askedAt. requestID names
// the request in logs.
func (n *notices) take(upstreamID, requestID string, askedAt time.Time, info ResponseInfo) {
	n.takeLimit(upstreamID, requestID, askedAt, info)
	if info.Leaving {
		n.onLeaving(upstreamID, requestID)
	}
	if info.Pause > 0 {
		pause := min(info.Pause, maxPause)
		n.pauses.add(upstreamID, pause)
		n.log.UpstreamPaused(upstreamID, requestID, pause, info.Pause)
	}
}

// takeLimit takes in what a response says about the limit of its upstream. One to a caller that
// names none ends a limit only if it is the upstream's own.
func (n *notices) takeLimit(upstreamID, requestID string, askedAt time.Time, info ResponseInfo) {
	if info.Limit.Kind == pace.Unlimited && !info.Signed && !info.control {
		return
	}
	heard := pace.Statement{Notice: info.Limit, AskedAt: askedAt, HeardAt: time.Now(), Control: info.control}
	limit := pace.Limit{UpstreamID: upstreamID, StartedMs: n.startedMs(upstreamID), Statement: heard}
	if n.limits.Note(heard.HeardAt, limit) {
		n.log.UpstreamLimited(upstreamID, requestID, info.Limit)
		n.onLimit(limit)
	}
}

// errLimited means that a call was not sent, because of the limit that the engine named.
var errLimited = fmt.Errorf("%w: it takes no more calls a second", fleet.ErrNotAsked)

// considerateEngines sends nothing to engines in a pause and little to those with a limit, and
// takes in what engines say about themselves.
type considerateEngines struct {
	fleet.Engines
	dialect Dialect
	notices *notices
}

// Names of calls in logs, in place of a request's id.
const (
	orderCall  = "order"
	reportCall = "report"
)

// Order implements fleet.Engines. An order that is not sent counts as one that conflicts.
func (e considerateEngines) Order(ctx context.Context, up *fleet.Upstream, order fleet.Order) (fleet.OrderResult, error) {
	if e.notices.pauses.left(up.ID) > 0 || !e.notices.limits.AllowOrder(time.Now(), up.ID) {
		return fleet.OrderConflict, nil
	}
	return e.Engines.Order(e.observe(ctx, up, orderCall, func(ResponseInfo) {}), up, order)
}

// Inspect implements fleet.Engines.
func (e considerateEngines) Inspect(ctx context.Context, up *fleet.Upstream) (fleet.Inventory, error) {
	if e.notices.pauses.left(up.ID) > 0 {
		return fleet.Inventory{}, errPaused
	}
	if !e.notices.limits.AllowReport(time.Now(), up.ID) {
		return fleet.Inventory{}, errLimited
	}
	var load *Load
	inventory, err := e.Engines.Inspect(e.observe(ctx, up, reportCall, func(info ResponseInfo) { load = info.Load }), up)
	if load != nil {
		inventory.Slowdown = load.Slowdown
	}
	if err != nil && e.notices.pauses.left(up.ID) > 0 {
		err = errPaused // that was its answer
	}
	return inventory, err
}

func (e considerateEngines) observe(ctx context.Context, up *fleet.Upstream, call string, also func(ResponseInfo)) context.Context {
	askedAt := time.Now()
	return exchange.WithObserver(ctx, func(status int, header http.Header) {
		info := e.dialect.ReadResponse(status, header)
		info.Signed, info.control = false, status < http.StatusInternalServerError
		e.notices.take(up.ID, call, askedAt, info)
		also(info)
	})
}
