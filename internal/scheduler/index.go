package scheduler

// index counts copies over all usable engines. It is made anew for each event,
// when it is first needed: an event changes little, but asks much.
type index struct {
	valid bool
	// copies counts the copies of a model, coming ones included.
	copies map[string]int
	// loading counts those that are on their way.
	loading map[string]int
	// atHand counts the hosts that keep a model's weights while their engine
	// does not hold it.
	atHand map[string]int
	// plans counts the plans for weights.
	plans int
}

func (c *Cell) indexed() *index {
	if c.index.valid {
		return &c.index
	}
	x := index{valid: true, copies: make(map[string]int), loading: make(map[string]int), atHand: make(map[string]int)}
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
	for name, w := range e.copies {
		if w.state == unloading {
			continue
		}
		x.copies[name]++
		if w.state == loading {
			x.loading[name]++
		}
	}
	for name, t := range e.tier {
		if t != tierRemote && e.copies[name] == nil {
			x.atHand[name]++
		}
	}
}

// copiesOf counts the copies of a model on usable engines, coming ones included.
func (c *Cell) copiesOf(name string) int { return c.indexed().copies[name] }

// isLoading reports whether a copy of a model is on its way.
func (c *Cell) isLoading(name string) bool { return c.indexed().loading[name] > 0 }

// isAtHand reports whether a usable engine's host that does not hold the model
// keeps its weights.
func (c *Cell) isAtHand(name string) bool { return c.indexed().atHand[name] > 0 }

// loadsInProgress counts the plans for weights.
func (c *Cell) loadsInProgress() int { return c.indexed().plans }
