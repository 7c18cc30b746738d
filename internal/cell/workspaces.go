package cell

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// relayWorkspaces tells all routers of the workspaces in force if they have changed. The store
// may turn some routers away, and a withdrawn key must not work there for as long.
func (s *Scheduler) relayWorkspaces(set *workspace.Set) {
	told := s.workspaces
	if set == told {
		return
	}
	s.workspaces = set
	s.dealer.SetQuotas(time.Now(), Quotas(set))
	if set.Equal(told) || !set.AsksForKeys() && !told.AsksForKeys() {
		return
	}
	s.broadcast(workspacesReply(set))
}

// tellWorkspaces tells a router that has just connected of the workspaces if its own are older.
func (s *Scheduler) tellWorkspaces(to *session, version int64) {
	if s.workspaces.AsksForKeys() && s.workspaces.Version > version {
		to.reply(workspacesReply(s.workspaces))
	}
}

func workspacesReply(set *workspace.Set) *apiv1.SchedulerReply {
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Workspaces{Workspaces: encodeWorkspaces(set)}}
}

// offerWorkspacesLocked sends this router's workspaces, once for each version and link, to a
// scheduler whose own are of version known.
func (c *Client) offerWorkspacesLocked(known int64) {
	set := c.opts.Workspaces()
	if !set.AsksForKeys() || set.Version <= max(known, c.offeredWorkspaces) {
		return
	}
	c.offeredWorkspaces = set.Version
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Workspaces{Workspaces: encodeWorkspaces(set)}})
}

func (c *Client) workspacesVersion() int64 {
	if set := c.opts.Workspaces(); set != nil {
		return set.Version
	}
	return 0
}

func encodeWorkspaces(set *workspace.Set) *apiv1.Workspaces {
	out := &apiv1.Workspaces{Version: set.Version, Open: set.Open}
	for _, w := range set.All() {
		encoded := &apiv1.Workspace{
			Name:         w.Name,
			PerSecond:    w.Quota.PerSecond,
			Burst:        w.Quota.Burst,
			CountsTokens: w.Quota.CountsTokens,
			PlainCost:    w.Quota.PlainCost,
		}
		if w.Priority != nil {
			priority := int32(*w.Priority)
			encoded.Priority = &priority
		}
		for _, key := range w.Keys {
			encoded.KeyDigests = append(encoded.KeyDigests, key[:])
		}
		out.Workspaces = append(out.Workspaces, encoded)
	}
	return out
}

// decodeWorkspaces decodes workspaces without those that are not valid.
func decodeWorkspaces(list *apiv1.Workspaces) *workspace.Set {
	if list.GetOpen() {
		return workspace.OpenSet(list.GetVersion())
	}
	var workspaces []workspace.Workspace
	for _, encoded := range list.GetWorkspaces() {
		w := workspace.Workspace{
			Name: encoded.GetName(),
			Quota: workspace.Quota{
				PerSecond:    encoded.GetPerSecond(),
				Burst:        encoded.GetBurst(),
				CountsTokens: encoded.GetCountsTokens(),
				PlainCost:    encoded.GetPlainCost(),
			},
		}
		if encoded.Priority != nil {
			priority := int(encoded.GetPriority())
			w.Priority = &priority
		}
		for _, digest := range encoded.GetKeyDigests() {
			if len(digest) == len(workspace.Key{}) {
				w.Keys = append(w.Keys, workspace.Key(digest))
			}
		}
		if w.Check() == nil {
			workspaces = append(workspaces, w)
		}
	}
	set, _ := workspace.NewSet(list.GetVersion(), workspaces) // the sender has left out what is not valid
	return set
}
