package scheduler

// index counts replicas over all usable engines. It is rebuilt at first use in
// each event, since an event changes little but reads the counts often.
type index struct {
	valid bool
	// replicas counts the replicas of a model, loading ones included.
	replicas map[string]int
	// loading counts the replicas that are loading.
	loading map[string]int
	// cached counts the hosts that have a model's weights cached while their engine
	// does not have it loaded.
	cached map[string]int
	// plans counts the plans that load or unload models, without those for adapters.
	plans int
}

func (c *Cell) indexed() *index {
	if c.index.valid {
		return &c.index
	}
	x := index{valid: true, replicas: make(map[string]int), loading: make(map[string]int), cached: make(map[string]int)}
	for _, e := range c.engines {
		if e.plan != nil && e.plan.adapter == "" {
			x.plans++
		}
		if e.usable() {
			x.add(e)
		}
	}
	c.index = x
	return &c.index
}

func (x *index) add(e *engine) {
	for name, rep := range e.replicas {
		if rep.state == unloading {
			continue
		}
		x.replicas[name]++
		if rep.state == loading {
			x.loading[name]++
		}
	}
	for name, t := range e.tier {
		if t != tierRemote && e.replicas[name] == nil {
			x.cached[name]++
		}
	}
}

// replicasOf counts the replicas of a model on usable engines, loading ones
// included.
func (c *Cell) replicasOf(name string) int { return c.indexed().replicas[name] }

// isLoading reports whether a replica of a model is loading.
func (c *Cell) isLoading(name string) bool { return c.indexed().loading[name] > 0 }

// isCached reports whether the host of a usable engine that does not have the
// model loaded has its weights cached.
func (c *Cell) isCached(name string) bool { return c.indexed().cached[name] > 0 }

// loadsInProgress counts the plans that load or unload models.
func (c *Cell) loadsInProgress() int { return c.indexed().plans }
