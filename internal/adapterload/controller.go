// Package adapterload limits how many adapter loads one host has in flight. All
// hosts share the storage behind the adapters, and each finds its share from
// its own load times, without messages: additive increase while loads take as
// long as the best that was seen, multiplicative decrease when they take longer.
// The package has no clock of its own.
package adapterload

import "time"

const (
	// slowRatio is the load time, relative to the best one, that counts as
	// congestion.
	slowRatio = 1.5
	// increase is added to the window for each window's worth of fast loads.
	increase = 1.0
	// decrease multiplies the window on congestion.
	decrease = 0.5
	// minWindow paces a host to one load in ten load times.
	minWindow = 0.1
	maxWindow = 16.0 // loads
	// initialWindow lets a newly started host load one adapter at a time.
	initialWindow = 1.0
	// bestForget raises the best load time a little with each load, so that a
	// lasting change of the storage's speed is learned.
	bestForget = 1.002
)

// Controller is the window of one host. It is not safe for concurrent use.
type Controller struct {
	window   float64
	best     time.Duration
	inFlight int
	// lastCut is when the window shrank last; loads that began earlier say
	// nothing about the smaller window.
	lastCut time.Time
	// notBefore delays the next load while the window is below one.
	notBefore time.Time
}

// New makes a controller with one load in flight.
func New() *Controller { return &Controller{window: initialWindow} }

// Window is the number of loads that may be in flight; below 1 it is the share
// of time in which one may be.
func (c *Controller) Window() float64 { return c.window }

// InFlight is the number of loads in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// Allow reports whether a load may start at now.
func (c *Controller) Allow(now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	return c.inFlight < max(1, int(c.window))
}

// NotBefore is the earliest start of the next load.
func (c *Controller) NotBefore() time.Time { return c.notBefore }

// Start counts a load that starts.
func (c *Controller) Start() { c.inFlight++ }

// Abort counts a started load that ended without a usable load time.
func (c *Controller) Abort() { c.inFlight-- }

// Finish counts a load that started at began and succeeded at now.
func (c *Controller) Finish(began, now time.Time) {
	c.inFlight--
	took := now.Sub(began)
	c.learnBest(took)
	switch {
	case float64(took) <= slowRatio*float64(c.best):
		c.window = min(maxWindow, c.window+increase/max(1, c.window)*min(1, c.window))
	case began.After(c.lastCut):
		c.window = max(minWindow, c.window*decrease)
		c.lastCut = now
	}
	if c.window < 1 {
		pause := float64(took) * (1/c.window - 1)
		c.notBefore = now.Add(time.Duration(pause))
	}
}

func (c *Controller) learnBest(took time.Duration) {
	if c.best == 0 || took < c.best {
		c.best = took
		return
	}
	c.best = min(took, time.Duration(float64(c.best)*bestForget))
}
