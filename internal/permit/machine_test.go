package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testOptions = Options{
	Limits:     Limits{Parallel: 3, PerSecond: 2},
	AgeStep:    time.Second,
	Expiry:     30 * time.Second,
	LostExpiry: 5 * time.Second,
	Handover:   4 * time.Second,
}

// asked is a request that the oracle knows to wait.
type asked struct {
	Request
	since time.Time
}

// permitted is a permit that the oracle counts until a time.
type permitted struct {
	host  string
	id    uint64
	until time.Time
}

// machine drives an allocator and its oracle: plain lists that are searched whole.
type machine struct {
	t         *rapid.T
	now       time.Time
	allocator *Allocator
	waiting   []asked
	running   []permitted
	starts    []time.Time
	lastID    uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, now: time.Unix(1_800_000_000, 0)}
	m.allocator = NewAllocator(m.now, testOptions)
	for i := range testOptions.Limits.Parallel {
		share := testOptions.Handover * time.Duration(i+1) / time.Duration(testOptions.Limits.Parallel)
		m.running = append(m.running, permitted{until: m.now.Add(share)})
	}
	return m
}

func (m *machine) drawHost() string {
	return fmt.Sprintf("host-%d", rapid.IntRange(0, 2).Draw(m.t, "host"))
}

func (m *machine) request() {
	m.lastID++
	r := Request{Host: m.drawHost(), ID: m.lastID, Priority: uint32(rapid.IntRange(0, 5).Draw(m.t, "priority"))}
	m.waiting = append(m.waiting, asked{r, m.now})
	m.allocator.Request(m.now, r)
	if rapid.Bool().Draw(m.t, "repeat") {
		r.Priority = uint32(rapid.IntRange(0, 5).Draw(m.t, "new priority"))
		m.allocator.Request(m.now, r)
		last := &m.waiting[len(m.waiting)-1]
		last.Priority = max(last.Priority, r.Priority)
	}
}

// done ends a load, withdraws a request, or names an unknown one.
func (m *machine) done() {
	host, id := m.drawHost(), uint64(rapid.IntRange(0, int(m.lastID)).Draw(m.t, "id"))
	m.allocator.Done(host, id)
	m.waiting = slices.DeleteFunc(m.waiting, func(w asked) bool { return w.Host == host && w.ID == id })
	m.running = slices.DeleteFunc(m.running, func(p permitted) bool { return p.host == host && p.id == id && host != "" })
}

func (m *machine) lost() {
	host := m.drawHost()
	m.allocator.Lost(m.now, host)
	m.waiting = slices.DeleteFunc(m.waiting, func(w asked) bool { return w.Host == host })
	limit := m.now.Add(testOptions.LostExpiry)
	for i := range m.running {
		if p := &m.running[i]; p.host == host {
			p.host = ""
			if limit.Before(p.until) {
				p.until = limit
			}
		}
	}
}

func (m *machine) tick() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(m.t, "ms")) * time.Millisecond)
	m.running = slices.DeleteFunc(m.running, func(p permitted) bool { return !m.now.Before(p.until) })
	for _, g := range m.allocator.Tick(m.now) {
		m.granted(g)
	}
	if len(m.waiting) > 0 && m.mayStart() {
		m.t.Fatalf("%d wait, %d run, last starts %v, and none was granted", len(m.waiting), len(m.running), m.starts)
	}
}

// mayStart reports whether both limits allow one more start.
func (m *machine) mayStart() bool {
	if len(m.running) >= testOptions.Limits.Parallel {
		return false
	}
	period := time.Duration(float64(time.Second) / testOptions.Limits.PerSecond)
	begin := m.starts
	return len(begin) == 0 || m.now.Sub(begin[len(begin)-1]) > period+time.Millisecond
}

// granted demands that the best waiting request was chosen, within the limits.
func (m *machine) granted(g Grant) {
	i := slices.IndexFunc(m.waiting, func(w asked) bool { return w.Host == g.Host && w.ID == g.ID })
	if i < 0 {
		m.t.Fatalf("%v was not asked for", g)
	}
	for _, other := range m.waiting {
		if m.rank(other) > m.rank(m.waiting[i]) {
			m.t.Fatalf("%v was granted before %v", m.waiting[i], other)
		}
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.running = append(m.running, permitted{g.Host, g.ID, m.now.Add(testOptions.Expiry)})
	m.starts = append(m.starts, m.now)
	if len(m.running) > testOptions.Limits.Parallel {
		m.t.Fatalf("%d loads at once", len(m.running))
	}
	m.checkRate()
}

// checkRate demands at most PerSecond starts in any second, and one besides.
func (m *machine) checkRate() {
	inSecond := 0
	for _, start := range m.starts {
		if m.now.Sub(start) < time.Second {
			inSecond++
		}
	}
	if inSecond > int(testOptions.Limits.PerSecond)+1 {
		m.t.Fatalf("%d starts in a second", inSecond)
	}
}

func (m *machine) rank(w asked) int64 {
	return int64(w.Priority) + int64(m.now.Sub(w.since)/testOptions.AgeStep)
}

func TestAllocatorMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { m.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": act(m.request),
			"done":    act(m.done),
			"lost":    act(m.lost),
			"tick":    act(m.tick),
			"": act(func() {
				if m.allocator.Waiting() != len(m.waiting) {
					m.t.Fatalf("%d wait, want %d", m.allocator.Waiting(), len(m.waiting))
				}
			}),
		})
	})
}

// An allocator that follows another one lets the earlier permits run out first.
func TestNewAllocatorStartsSlowly(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	k := NewAllocator(start, Options{Limits: Limits{Parallel: 4, PerSecond: 100}, Expiry: time.Hour, Handover: 4 * time.Second})
	for id := range uint64(8) {
		k.Request(start, Request{Host: "host", ID: id})
	}
	is.Equal(len(k.Tick(start)), 0)
	for second := 1; second <= 4; second++ {
		is.Equal(len(k.Tick(start.Add(time.Duration(second)*time.Second))), 1)
	}
	is.Equal(len(k.Tick(start.Add(time.Minute))), 0)
}

// A permit whose answer was lost is sent again and counts once.
func TestRepeatedRequestIsGrantedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	k := NewAllocator(now, Options{Limits: Limits{Parallel: 1, PerSecond: 100}, Expiry: time.Hour})
	request := Request{Host: "host", ID: 7}
	k.Request(now, request)
	now = now.Add(time.Second)
	first := k.Tick(now)
	k.Request(now, request)
	is.Equal(k.Tick(now), first)
	is.Equal(k.Running(), 1)
}

// Waiting raises a request, so that a stream of better ones can't starve it.
func TestAgeingEndsStarvation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	k := NewAllocator(now, Options{Limits: Limits{Parallel: 1}, AgeStep: time.Second, Expiry: time.Hour})
	k.Request(now, Request{Host: "routine", ID: 1, Priority: 0})
	for id := range uint64(20) {
		now = now.Add(time.Second)
		k.Request(now, Request{Host: "urgent", ID: id, Priority: 5})
		for _, g := range k.Tick(now) {
			if g.Host == "routine" {
				is.Equal(g.Behind, uint32(4))
				return
			}
			k.Done(g.Host, g.ID)
		}
	}
	t.Fatal("the routine load was never granted")
}
