package blocklist

import (
	"slices"
	"time"
)

const (
	// crashesToSuspend is the number of engines, whenever they ended, from which a part that
	// was never sound is suspended. Engines that end in one moment, which may be those of a
	// failure domain, are too little to block it.
	crashesToSuspend = 5
	// suspensionTrialInterval is the time between the trials of a suspended part, in which
	// the end of an engine under the last one becomes known.
	suspensionTrialInterval = 2 * time.Second
	// crashesUnderTrial is the number of crashes, those of one moment counted once, from which
	// a suspended part is blocked: the last one came under a request that tried it alone, once
	// those from before the suspension were over after suspensionSettleTime.
	crashesUnderTrial    = 2
	suspensionSettleTime = time.Second
)

// suspensionOf returns the entry of parts that are tried by one request at a time because many
// engines ended under them; ok is false if nothing tells it from other new parts. In contrast
// to what is blocked, other routers are not told.
func suspensionOf(now time.Time, suspects []*suspect) (entry Entry, ok bool) {
	var first *suspect
	for _, s := range suspects {
		if s.lastSound.IsZero() && (first == nil || len(s.in) > len(first.in)) {
			first = s
		}
	}
	if first == nil || len(first.in) < crashesToSuspend {
		return Entry{}, false
	}
	entry = Entry{Since: now, Crashes: first.crashes}
	for _, s := range suspects {
		switch {
		case !s.lastSound.IsZero() || len(s.in) < len(first.in):
		case slices.Equal(s.in, first.in):
			entry.Parts = append(entry.Parts, s.part)
		default:
			return Entry{}, false
		}
	}
	slices.Sort(entry.Parts)
	return entry, true
}

// suspend adds an entry whose first trial is due at once, unless its prompts are suspended or
// blocked already.
func (l *Ledger) suspend(now time.Time, e Entry) {
	covers := func(b *blocked) bool { return b.Matches(e.Parts) }
	if slices.ContainsFunc(l.suspended, covers) || slices.ContainsFunc(l.blocked, covers) {
		return
	}
	l.suspended = append(l.suspended, &blocked{Entry: e, nextTrial: now})
	l.newlySuspended = append(l.newlySuspended, e)
}

// TakeSuspended returns the entries that were suspended since the last call.
func (l *Ledger) TakeSuspended() []Entry {
	entries := l.newlySuspended
	l.newlySuspended = nil
	return entries
}

// isUnderTrial reports whether a crash came while its parts were tried by one request at a time.
func (l *Ledger) isUnderTrial(last *crash, parts []string) bool {
	return slices.ContainsFunc(l.suspended, func(b *blocked) bool {
		return slices.Equal(b.Parts, parts) && last.at.Sub(b.Since) >= suspensionSettleTime
	})
}

// expireSuspended drops the suspensions whose crashes are no longer remembered.
func (l *Ledger) expireSuspended(now time.Time) {
	l.suspended = slices.DeleteFunc(l.suspended, func(b *blocked) bool { return now.Sub(b.Since) > crashTTL })
}
