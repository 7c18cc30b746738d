// Package adapterload limits how many adapter loads one host has in flight. All
// hosts share the storage behind the adapters, and each finds its share from
// its own load times, without messages: additive increase while loads take as
// long as the best that was seen, multiplicative decrease when they take longer.
// The package has no clock of its own.
package adapterload

import "time"

const (
	// slowRatio is the mean load time, relative to the best one, that counts as
	// congestion.
	slowRatio = 1.3
	// newShare is the weight of the newest load time in the mean.
	newShare = 0.15
	// slowShare is newShare of the slow mean, which changes too little between
	// two loads for its lowest value to be an accident.
	slowShare = 0.04
	// warmLoads is the number of loads after which the slow mean is believed.
	warmLoads = 20
	// increase is added to the window for each window's worth of fast loads.
	increase = 0.25
	// decrease multiplies the window on congestion.
	decrease = 0.5
	// minWindow paces a host to one load in ten load times.
	minWindow = 0.1
	maxWindow = 16.0 // loads
	// initialWindow is small, so that hosts that start together learn the time
	// of a load at full speed.
	initialWindow = 0.25
	// judgedLoads is the number of loads after a cut of the window before it
	// changes again.
	judgedLoads = 6
	// bestForget raises the best mean a little with each load, so that a
	// lasting change of the storage's speed is learned.
	bestForget = 1.0002
)

// Controller is the window of one host. It is not safe for concurrent use.
type Controller struct {
	window   float64
	inFlight int
	// mean and slow are moving averages of the load times, in seconds; mean
	// begins anew with each cut of the window.
	mean, slow float64
	// best is the lowest slow mean, in seconds; 0 until warmLoads have ended.
	best  float64
	loads int
	// sinceCut counts the loads that began and ended after lastCut.
	sinceCut int
	// lastCut is when the window shrank last; loads that began earlier say
	// nothing about the smaller window.
	lastCut time.Time
	// notBefore delays the next load while the window is below one.
	notBefore time.Time
}

// New makes a controller with a small window.
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
	if began.Before(c.lastCut) {
		return // it says nothing about the present window
	}
	took := now.Sub(began)
	c.learn(took.Seconds())
	c.adjust(now)
	if c.window < 1 {
		pause := float64(took) * (1/c.window - 1)
		c.notBefore = now.Add(time.Duration(pause))
	}
}

// adjust moves the window once the mean speaks for it.
func (c *Controller) adjust(now time.Time) {
	switch {
	case c.best == 0 || c.sinceCut < judgedLoads:
	case c.mean <= slowRatio*c.best:
		c.window = min(maxWindow, c.window+increase*min(c.window, 1/c.window))
	default:
		c.window = max(minWindow, c.window*decrease)
		c.lastCut = now
		c.sinceCut = 0
		c.mean = 0
	}
}

func (c *Controller) learn(took float64) {
	c.loads++
	c.sinceCut++
	c.mean = average(c.mean, took, newShare, c.sinceCut)
	c.slow = average(c.slow, took, slowShare, c.loads)
	switch {
	case c.loads < warmLoads:
	case c.best == 0 || c.slow < c.best:
		c.best = c.slow
	default:
		c.best = min(c.slow, c.best*bestForget)
	}
}

// average moves mean towards the n-th value; the first values weigh the same.
func average(mean, value, share float64, n int) float64 {
	return mean + max(share, 1/float64(n))*(value-mean)
}
