// Package blocklist finds parts of prompts that crash engines, and keeps requests with
// them from further engines.
//
// A crash is the end of an engine under requests that it had not begun to answer, as far
// as their callers saw. The parts of these requests, without the last one of each, are its
// suspects: the last part belongs to a single request or session. A part that was in a
// completed response since is sound. What remains suspect in several crashes is
// blocked: its requests are refused, but for a trial from time to time, whose success
// releases it. Parts that nothing tells apart are blocked together: only requests that
// have all of them are refused, and those that turn out to be sound leave the entry.
//
// Many engines that end in one moment may be those of a failure domain. What is suspect then is
// only suspended, until one request at a time has shown what it is.
package blocklist

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// crashesToBlock is the number of crashes from which parts are blocked that
	// were never sound.
	crashesToBlock = 3
	// crashesToDecide is the number of crashes from which parts are blocked that were
	// sound before, or that as many crashes count against as against others.
	crashesToDecide = 5
	// sameCauseWindow is the time within which crashes count as one: engines that end
	// together, with a rack or a failure domain, do not end by their requests.
	sameCauseWindow = 500 * time.Millisecond
	// crashTTL and maxCrashes bound the crashes that are remembered.
	crashTTL   = 10 * time.Minute
	maxCrashes = 128
	// firstTrialDelay is the time from the block to the first trial. It grows by
	// trialDelayFactor with each trial, up to maxTrialDelay.
	firstTrialDelay  = time.Minute
	trialDelayFactor = 4
	maxTrialDelay    = time.Hour
	// maxSoundParts bounds the parts that are remembered as sound, twice.
	maxSoundParts = 16384
)

// Entry describes what is blocked of the prompts for one service: those that have all
// of its parts.
type Entry struct {
	Parts []string // sorted
	// Since is when it was blocked, on the clock of the router that did so.
	Since time.Time
	// Crashes is the number of crashes that counted against the parts by then.
	Crashes int
	// Trials is the number of requests that were let through since.
	Trials int
}

// SharedParts returns the ids of the parts of a prompt that several requests may have in
// common: all but the last one.
func SharedParts[P any](parts []P, id func(P) string) []string {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]string, len(parts)-1)
	for i := range ids {
		ids[i] = id(parts[i])
	}
	return ids
}

// Matches reports whether a prompt has all parts of the entry.
func (e Entry) Matches(parts []string) bool {
	for _, part := range e.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Reason is the reason of a refusal that callers get.
func (e Entry) Reason() string { return "engines crashed under part " + e.String() + " of the prompt" }

// String returns the parts, separated by commas.
func (e Entry) String() string { return strings.Join(e.Parts, ",") }

// crash is the end of one incarnation of an engine.
type crash struct {
	engine   string
	at       time.Time
	suspects map[string]struct{}
}

func (c *crash) isUnder(part string) bool {
	_, ok := c.suspects[part]
	return ok
}

type blocked struct {
	Entry
	nextTrial time.Time
}

// Ledger has the evidence and the blocked prompts of one service. It is not safe for
// concurrent use.
type Ledger struct {
	crashes []*crash // by time
	blocked []*blocked
	// suspended has the entries of parts that may turn out to be sound.
	suspended []*blocked
	// newlySuspended is for TakeSuspended.
	newlySuspended []Entry
	sound          soundParts
	// changed is set when the entries change, until TakeChanged.
	changed bool
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger { return &Ledger{sound: newSoundParts()} }

// RecordCrash adds suspects to the crash of an engine at a time before now; engine
// identifies one incarnation. It returns the entry that is blocked because of it, if
// there is one.
func (l *Ledger) RecordCrash(now, at time.Time, engine string, suspects []string) (Entry, bool) {
	c := l.crashOf(now, at, engine)
	known := len(c.suspects)
	for _, part := range suspects {
		c.suspects[part] = struct{}{}
	}
	if len(c.suspects) == known {
		return Entry{}, false
	}
	return l.judge(now, c)
}

// HasCrash reports whether the crash of an engine is recorded.
func (l *Ledger) HasCrash(engine string) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return c.engine == engine })
}

func (l *Ledger) crashOf(now, at time.Time, engine string) *crash {
	for _, c := range l.crashes {
		if c.engine == engine {
			return c
		}
	}
	l.expireSuspended(now)
	expired := func(c *crash) bool { return now.Sub(c.at) > crashTTL }
	l.crashes = slices.DeleteFunc(l.crashes, expired)
	if len(l.crashes) >= maxCrashes {
		i := l.leastTelling()
		l.crashes = slices.Delete(l.crashes, i, i+1)
	}
	c := &crash{engine: engine, at: at, suspects: make(map[string]struct{})}
	l.crashes = append(l.crashes, c)
	slices.SortStableFunc(l.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return c
}

// RecordSound notes that a response to a prompt with these parts was completed. Entries of
// which it has all parts are released and returned; the parts leave all others.
func (l *Ledger) RecordSound(now time.Time, parts []string) (released []Entry) {
	for _, part := range parts {
		l.sound.add(now, part)
	}
	var changed bool
	l.blocked, released, changed = withoutSound(l.blocked, parts)
	l.changed = l.changed || changed
	l.suspended, _, _ = withoutSound(l.suspended, parts)
	return released
}

// withoutSound returns the entries without the sound parts of a prompt, and those of which it
// has all parts.
func withoutSound(entries []*blocked, parts []string) (kept []*blocked, released []Entry, changed bool) {
	kept = entries[:0]
	for _, b := range entries {
		left := slices.DeleteFunc(slices.Clone(b.Parts), func(part string) bool { return slices.Contains(parts, part) })
		changed = changed || len(left) < len(b.Parts)
		if len(left) == 0 {
			released = append(released, b.Entry)
			continue
		}
		b.Parts = left
		kept = append(kept, b)
	}
	clear(entries[len(kept):])
	return kept, released, changed
}

// judge blocks the suspects of a crash against which most crashes count, if they are
// enough. Parts that were never sound go first. Of parts with equally many crashes those are
// taken that were sound the longest time ago, then those with more engines.
func (l *Ledger) judge(now time.Time, last *crash) (Entry, bool) {
	suspects := l.suspectsOf(last)
	if len(suspects) == 0 {
		return Entry{}, false
	}
	slices.SortFunc(suspects, compareSuspects)
	first := suspects[0]
	entry := Entry{Since: now, Crashes: first.crashes}
	ambiguous := false
	for _, s := range suspects {
		switch {
		case compareSuspects(s, first) != 0:
		case slices.Equal(s.in, first.in):
			entry.Parts = append(entry.Parts, s.part)
		default:
			ambiguous = true
		}
	}
	needed := crashesToBlock
	switch {
	case ambiguous || !first.lastSound.IsZero():
		needed = crashesToDecide
	case l.isUnderTrial(last, entry.Parts):
		needed = crashesUnderTrial
	}
	if first.crashes < needed {
		if suspension, ok := suspensionOf(now, suspects); ok {
			l.suspend(now, suspension)
		}
		return Entry{}, false
	}
	slices.Sort(entry.Parts)
	l.insert(entry, now.Add(trialDelay(0)))
	return entry, true
}

// suspect is a part with the crashes that count against it.
type suspect struct {
	part string
	// in are the crashes, by index; those in the same window count as one.
	in        []int
	crashes   int
	windowEnd time.Time
	lastSound time.Time
}

// isNew reports whether enough crashes count against a part that was never sound.
func (s *suspect) isNew() bool { return s.lastSound.IsZero() && s.crashes >= crashesToBlock }

func compareSuspects(a, b *suspect) int {
	switch {
	case a.isNew() && !b.isNew():
		return -1
	case b.isNew() && !a.isNew():
		return 1
	}
	return cmp.Or(-cmp.Compare(a.crashes, b.crashes), a.lastSound.Compare(b.lastSound), -cmp.Compare(len(a.in), len(b.in)))
}

// suspectsOf counts the crashes against each suspect of a crash that has one which no entry
// explains. Crashes before the part was last sound do not count, nor do those that an entry
// without the part explains.
func (l *Ledger) suspectsOf(last *crash) []*suspect {
	explanations := make([]*blocked, len(l.crashes))
	for i, c := range l.crashes {
		explanations[i] = l.explanationOf(c)
	}
	var out []*suspect
	for part := range last.suspects {
		s := &suspect{part: part, lastSound: l.sound.last(part)}
		unexplained := false
		for i, c := range l.crashes {
			explanation := explanations[i]
			if !c.isUnder(part) || !c.at.After(s.lastSound) || explanation != nil && !slices.Contains(explanation.Parts, part) {
				continue
			}
			unexplained = unexplained || explanation == nil || slices.Contains(l.suspended, explanation)
			s.add(i, c.at)
		}
		if unexplained {
			out = append(out, s)
		}
	}
	return out
}

// add counts a crash; those within sameCauseWindow count as one.
func (s *suspect) add(index int, at time.Time) {
	s.in = append(s.in, index)
	if !at.Before(s.windowEnd) {
		s.crashes++
		s.windowEnd = at.Add(sameCauseWindow)
	}
}

// explanationOf returns the entry that explains a crash, nil if there is none. As long as
// nothing speaks against it, a suspended part explains a crash, too.
func (l *Ledger) explanationOf(c *crash) *blocked {
	for _, entries := range [][]*blocked{l.blocked, l.suspended} {
		for _, b := range entries {
			if !slices.ContainsFunc(b.Parts, func(part string) bool { return !c.isUnder(part) }) {
				return b
			}
		}
	}
	return nil
}

// IsEmpty reports whether nothing is blocked or suspended.
func (l *Ledger) IsEmpty() bool { return len(l.blocked)+len(l.suspended) == 0 }

// Check returns the entry that a prompt matches and the time until its next trial; ok is
// false if there is none. Of several entries it returns the one with the latest trial.
func (l *Ledger) Check(now time.Time, parts []string) (entry Entry, untilTrial time.Duration, ok bool) {
	for _, entries := range [][]*blocked{l.blocked, l.suspended} {
		for _, b := range entries {
			if left := b.nextTrial.Sub(now); b.Matches(parts) && (!ok || left > untilTrial) {
				entry, untilTrial, ok = b.Entry, left, true
			}
		}
	}
	return entry, untilTrial, ok
}

// BeginTrial counts a request that is let through although it matches entries.
func (l *Ledger) BeginTrial(now time.Time, parts []string) {
	for _, b := range l.blocked {
		if b.Matches(parts) {
			b.Trials++
			b.nextTrial = now.Add(trialDelay(b.Trials))
			l.changed = true
		}
	}
	for _, b := range l.suspended {
		if b.Matches(parts) {
			b.nextTrial = now.Add(suspensionTrialInterval)
		}
	}
}

// Adopt adds entries of another router. Their trials begin anew with the delay that they
// had reached.
func (l *Ledger) Adopt(now time.Time, entries []Entry) {
	for _, e := range entries {
		covers := func(b *blocked) bool { return b.Matches(e.Parts) }
		i := slices.IndexFunc(l.blocked, covers)
		if i < 0 {
			l.insert(e, now.Add(trialDelay(e.Trials)))
			continue
		}
		if b := l.blocked[i]; len(b.Parts) == len(e.Parts) && e.Trials > b.Trials {
			b.Trials, b.nextTrial = e.Trials, now.Add(trialDelay(e.Trials))
			l.changed = true
		}
	}
}

// insert adds an entry in place of those that match no other prompts.
func (l *Ledger) insert(e Entry, nextTrial time.Time) {
	l.suspended = slices.DeleteFunc(l.suspended, func(b *blocked) bool { return e.Matches(b.Parts) })
	l.blocked = slices.DeleteFunc(l.blocked, func(b *blocked) bool { return e.Matches(b.Parts) })
	l.blocked = append(l.blocked, &blocked{Entry: e, nextTrial: nextTrial})
	l.changed = true
}

// Entries returns the entries, ordered by parts.
func (l *Ledger) Entries() []Entry {
	out := make([]Entry, 0, len(l.blocked))
	for _, b := range l.blocked {
		out = append(out, b.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return slices.Compare(a.Parts, b.Parts) })
	return out
}

// TakeChanged reports whether the entries changed since the last call.
func (l *Ledger) TakeChanged() bool {
	changed := l.changed
	l.changed = false
	return changed
}

func trialDelay(trials int) time.Duration {
	delay := firstTrialDelay
	for range trials {
		delay = min(maxTrialDelay, delay*trialDelayFactor)
	}
	return delay
}
