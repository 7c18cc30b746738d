package cell

import "time"

// HasActiveScheduler reports whether a scheduler that renews its lease is
// connected.
func (c *Client) HasActiveScheduler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.connected && now.Sub(c.lastReceived) < heartbeatTimeout && now.Sub(c.renewedAt) < maxRenewalAge
}

// SchedulerCores returns the processor share of the connected scheduler's host, 0
// without one.
func (c *Client) SchedulerCores() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		return 0
	}
	return c.schedulerCores
}

// SchedulerLeaseVersion returns the version of the lease row on which the connected
// scheduler's term is based, 0 without one.
func (c *Client) SchedulerLeaseVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || time.Since(c.lastReceived) >= heartbeatTimeout {
		return 0
	}
	return c.leaseVersion
}

// SchedulerRenewal returns the version of the lease row at the last renewal that a
// scheduler reported, and the age of that renewal. The link may be lost by now.
func (c *Client) SchedulerRenewal() (version int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseVersion, time.Since(c.renewedAt)
}

// Fresh implements fleet.Peer: a scheduler on another router relays what it reads.
// ok is false if the scheduler runs in this process.
func (c *Client) Fresh() (configVersion int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ok = c.connected && c.listReceived && c.target != localTarget && now.Sub(c.lastReceived) < heartbeatTimeout &&
		now.Sub(c.configAt) < maxConfigAge && now.Sub(c.listAt) < maxListAge
	return c.configVersion, ok
}

// ConfigReadAt returns when the last connected scheduler had last read the configuration, as far
// as this router heard, the zero time before the first heartbeat.
func (c *Client) ConfigReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configAt
}

// UnlinkedFor returns the time since a scheduler was connected last, 0 while one is.
func (c *Client) UnlinkedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		return 0
	}
	return time.Since(c.unlinkedAt)
}

// Schedules implements fleet.Peer.
func (c *Client) Schedules() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target == localTarget
}

// Routers returns the number of routers that the last scheduler knew, 0 before the first one.
func (c *Client) Routers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers
}
