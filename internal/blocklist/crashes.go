package blocklist

import "slices"

// leastTelling returns the index of the crash that is forgotten for another one: one without
// suspects, else one of the most that count as one. The loss of a failure domain must not cost
// the evidence of single crashes.
func (l *Ledger) leastTelling() int {
	if i := slices.IndexFunc(l.crashes, func(c *crash) bool { return len(c.suspects) == 0 }); i >= 0 {
		return i
	}
	index, most := 0, 1
	for from := 0; from < len(l.crashes); {
		to := from + 1
		for to < len(l.crashes) && l.crashes[to].at.Sub(l.crashes[from].at) < sameCauseWindow {
			to++
		}
		if to-from > most {
			index, most = to-1, to-from
		}
		from = to
	}
	return index
}
