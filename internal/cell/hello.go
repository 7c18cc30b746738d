package cell

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const (
	// maxHelloBytes limits the first message of a link; a frame may have more.
	maxHelloBytes = 1 << 20
	// repeatedBytes is what an element of a list takes beside its own bytes at most.
	repeatedBytes = 8
)

// helloLocked returns the first message of a link. Requests that it has no room for are left out: the
// scheduler learns what they take from the inventories of their engines.
func (c *Client) helloLocked() *apiv1.SchedulerHello {
	hello := &apiv1.SchedulerHello{
		Router:            c.opts.Host,
		BootId:            c.opts.BootID,
		Cores:             c.opts.Cores,
		Address:           c.opts.Address,
		ListVersion:       c.opts.ListVersion(),
		AcceptsListParts:  true,
		Draining:          c.draining,
		BrokenOff:         c.brokenOffLocked(),
		Blocklist:         encodeBlocklist(c.opts.Blocklist.Load()),
		Limits:            encodeLimits(time.Now(), c.opts.Limits.Limits()),
		WorkspacesVersion: c.workspacesVersion(),
		Routers:           int32(c.routers),
	}
	room := maxHelloBytes - proto.Size(hello)
	for _, r := range c.running {
		if room -= proto.Size(r) + repeatedBytes; room < 0 {
			break
		}
		hello.Running = append(hello.Running, r)
	}
	return hello
}
