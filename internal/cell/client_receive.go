package cell

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// heartbeatLocked records the state that a heartbeat reports.
func (c *Client) heartbeatLocked(heartbeat *apiv1.SchedulerBeat) {
	c.renewedAt = c.lastReceived.Add(-microseconds(heartbeat.GetRenewedAgoUs()))
	c.configVersion = heartbeat.GetConfigVersion()
	c.leaseVersion = heartbeat.GetLeaseVersion()
	c.schedulerCores = heartbeat.GetCores()
	c.routers = int(heartbeat.GetRouters())
	c.opts.Quotas.SetRouters(c.lastReceived, c.routers)
	c.configAt = c.lastReceived.Add(-microseconds(heartbeat.GetConfigAgeUs()))
	c.listAt = c.lastReceived.Add(-microseconds(heartbeat.GetListAgeUs()))
	c.offerWorkspacesLocked(heartbeat.GetWorkspacesVersion())
	if c.connected {
		return
	}
	c.connected = true
	close(c.linkUp)
	c.linkUp = make(chan struct{})
	c.opts.Observer.SchedulerLinked(c.target)
}

// listPartLocked takes in a list, or a part of one, and passes it on once it is complete.
func (c *Client) listPartLocked(part *apiv1.UpstreamList) {
	if c.partialList != nil {
		part.Upstreams = append(c.partialList.GetUpstreams(), part.GetUpstreams()...)
	}
	c.partialList = part
	if part.GetContinues() {
		return
	}
	c.partialList = nil
	c.listReceived = true
	c.opts.OnUpstreamList(decodeList(part))
}

func (c *Client) handleReply(link sender, reply *apiv1.SchedulerReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != link {
		return
	}
	c.lastReceived = time.Now()
	var number uint64
	switch body := reply.GetBody().(type) {
	case *apiv1.SchedulerReply_Beat:
		c.heartbeatLocked(body.Beat)
		return
	case *apiv1.SchedulerReply_Handover:
		h := body.Handover
		c.opts.OnHandover(Handover{Fence: h.GetFence(), Version: h.GetVersion(), BootID: h.GetBootId(), WaitLeaseTime: h.GetWaitLeaseTime()})
		return
	case *apiv1.SchedulerReply_Moved:
		c.handedOverVersion = body.Moved.GetLeaseVersion()
		c.followLocked(body.Moved.GetAddress(), c.handedOverVersion)
		return
	case *apiv1.SchedulerReply_List:
		c.listPartLocked(body.List)
		return
	case *apiv1.SchedulerReply_Blocklist:
		c.opts.Blocklist.Replace(decodeBlocklist(body.Blocklist))
		return
	case *apiv1.SchedulerReply_Limits:
		c.takeLimits(body.Limits)
		return
	case *apiv1.SchedulerReply_QuotaGrant:
		c.takeQuotaGrantLocked(body.QuotaGrant)
		return
	case *apiv1.SchedulerReply_Workspaces:
		c.opts.OnWorkspaces(decodeWorkspaces(body.Workspaces))
		return
	case *apiv1.SchedulerReply_Queued:
		if req := c.pending[body.Queued.GetNumber()]; req != nil {
			req.confirmed = true
		}
		return
	case *apiv1.SchedulerReply_Grant:
		number = body.Grant.GetNumber()
	case *apiv1.SchedulerReply_Refusal:
		number = body.Refusal.GetNumber()
	}
	if req := c.pending[number]; req != nil {
		delete(c.pending, number)
		req.decision <- reply
		return
	}
	if reply.GetGrant() != nil {
		// The request was withdrawn before the grant arrived.
		c.sendLocked(progressCall(number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED, 0))
	}
}
