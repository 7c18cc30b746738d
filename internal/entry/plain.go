package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

func httpStatus(status int) string { return strconv.Itoa(status) }

// servePlain serves a request to a plain service.
func (j *job) servePlain() {
	for {
		up := j.pickPlain()
		if up == nil {
			j.refuse(againPause, "no upstream is known")
			return
		}
		if j.sendPlain(up) {
			return
		}
	}
}

func (j *job) pickPlain() *fleet.Upstream {
	var candidates []*fleet.Upstream
	for _, up := range j.front.directory.Load().ByService[j.service.Name] {
		if up.TakesWork() && !slices.Contains(j.tried, up.ID) {
			candidates = append(candidates, up)
		}
	}
	return j.front.balancer.pick(candidates)
}

// sendPlain sends the request to an upstream; it reports false if another one
// may get it.
func (j *job) sendPlain(up *fleet.Upstream) bool {
	done := j.front.balancer.begin(up.ID)
	defer done()
	j.noteSending(up.ID)
	ctx, cancel := j.attemptContext()
	defer cancel()
	began := time.Now()
	resp, answer, err := j.send(ctx, up.ID, up.Addr, noPriority)
	if err != nil {
		return j.plainFailed(up, err)
	}
	defer resp.Close()
	j.front.balancer.learnLoad(up.ID, answer.Load)
	switch {
	case answer.NotRun:
		j.front.balancer.refused(up.ID)
		resp.Discard()
		return j.again("the upstream refused the request")
	case !answer.Signed || isPromise(resp.Status):
		j.front.balancer.failed(up.ID)
		return j.again("the upstream's answer is not valid")
	case resp.Status >= http.StatusInternalServerError && j.mayMoveOn():
		j.front.balancer.failed(up.ID)
		resp.Discard()
		return false
	}
	if err := j.relayPlain(resp); err != nil {
		j.front.balancer.failed(up.ID)
		return j.again("answer broke off: " + err.Error())
	}
	j.front.balancer.succeeded(up.ID, time.Since(began))
	j.record.Outcome = OutcomeServed
	if resp.Status >= http.StatusBadRequest {
		j.record.Outcome = OutcomeRelayed
	}
	return true
}

// attemptContext bounds the first sending of a request that may be sent once
// more, so that time is left for that.
func (j *job) attemptContext() (context.Context, context.CancelFunc) {
	if !j.repeatable || len(j.tried) >= j.route.Attempts {
		return context.WithCancel(j.ctx)
	}
	return context.WithTimeout(j.ctx, min(j.timeLeft()/2, j.front.balancer.patience()))
}

func (j *job) plainFailed(up *fleet.Upstream, err error) bool {
	if j.callerLeft() {
		j.fail("the caller left")
		return true
	}
	j.front.balancer.failed(up.ID)
	return j.again(err.Error())
}
