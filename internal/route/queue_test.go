package route_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortdoor/ragwortdoor/internal/route"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

const queueLimit = 5

var queueClasses = []route.Class{
	{Name: "routine", Priority: 1, Ageing: 100 * time.Millisecond},
	{Name: "normal", Priority: 3, Ageing: 250 * time.Millisecond},
	{Name: "opening-week", Priority: 8, Ageing: 0},
}

// item is the oracle's copy of a waiter.
type item struct {
	waiter *route.Waiter[int]
	serial int
}

// queueMachine compares a Queue with a plain list that is sorted at each use.
type queueMachine struct {
	queue  *route.Queue[int]
	oracle []item
	now    time.Time
	serial int
}

func (m *queueMachine) level(i item) int {
	level := int(i.waiter.Class.Priority)
	if i.waiter.Class.Ageing > 0 {
		level += int(m.now.Sub(i.waiter.Arrived) / i.waiter.Class.Ageing)
	}
	return level
}

// sorted is the oracle's order of service.
func (m *queueMachine) sorted() []item {
	out := slices.Clone(m.oracle)
	slices.SortStableFunc(out, func(a, b item) int {
		if la, lb := m.level(a), m.level(b); la != lb {
			return lb - la
		}
		if c := a.waiter.Arrived.Compare(b.waiter.Arrived); c != 0 {
			return c
		}
		return a.serial - b.serial
	})
	return out
}

// victim is the oracle's choice of what a full queue sheds.
func (m *queueMachine) victim() item {
	return slices.MinFunc(m.oracle, func(a, b item) int {
		if d := int(a.waiter.Class.Priority) - int(b.waiter.Class.Priority); d != 0 {
			return d
		}
		if c := b.waiter.Arrived.Compare(a.waiter.Arrived); c != 0 {
			return c
		}
		return b.serial - a.serial
	})
}

func (m *queueMachine) remove(w *route.Waiter[int]) {
	m.oracle = slices.DeleteFunc(m.oracle, func(i item) bool { return i.waiter == w })
}

func (m *queueMachine) add(w *route.Waiter[int]) {
	m.serial++
	m.oracle = append(m.oracle, item{w, m.serial})
}

func (m *queueMachine) draw(t *rapid.T) *route.Waiter[int] {
	return &route.Waiter[int]{
		Class:   rapid.SampledFrom(queueClasses).Draw(t, "class"),
		Arrived: m.now,
		Value:   m.serial,
	}
}

func (m *queueMachine) push(t *rapid.T) {
	w := m.draw(t)
	var want *route.Waiter[int]
	admitted := true
	if len(m.oracle) >= queueLimit {
		low := m.victim()
		admitted = low.waiter.Class.Priority < w.Class.Priority
		if admitted {
			want = low.waiter
		}
	}
	evicted, ok := m.queue.Push(w)
	if ok != admitted || evicted != want {
		t.Fatalf("push: got %v %v, want %v %v", evicted, ok, want, admitted)
	}
	if evicted != nil {
		m.remove(evicted)
	}
	if ok {
		m.add(w)
	}
}

// giveBack returns a waiter that had left the queue earlier.
func (m *queueMachine) giveBack(t *rapid.T) {
	w := m.draw(t)
	w.Arrived = m.now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond)
	m.queue.Return(w)
	m.add(w)
}

func (m *queueMachine) pop(t *rapid.T) {
	var want *route.Waiter[int]
	if order := m.sorted(); len(order) > 0 {
		want = order[0].waiter
	}
	got := m.queue.Pop(m.now)
	if got != want {
		t.Fatalf("pop: got %v, want %v", got, want)
	}
	m.remove(got)
}

func (m *queueMachine) leave(t *rapid.T) {
	if len(m.oracle) == 0 {
		return
	}
	w := rapid.SampledFrom(m.oracle).Draw(t, "waiter").waiter
	if !m.queue.Remove(w) || m.queue.Remove(w) {
		t.Fatal("a waiter leaves exactly once")
	}
	m.remove(w)
}

func (m *queueMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

func (m *queueMachine) check(t *rapid.T) {
	if m.queue.Len() != len(m.oracle) {
		t.Fatalf("length %d, want %d", m.queue.Len(), len(m.oracle))
	}
	order := m.sorted()
	for i, w := range m.queue.Ordered(m.now) {
		if w != order[i].waiter {
			t.Fatalf("place %d: got %v, want %v", i, w, order[i].waiter)
		}
	}
	for _, class := range queueClasses {
		want := 0
		for _, i := range order {
			if m.level(i) >= int(class.Priority) {
				want++
			}
		}
		if got := m.queue.Ahead(class, m.now); got != want {
			t.Fatalf("%s: %d ahead, want %d", class.Name, got, want)
		}
	}
}

func TestQueueAgainstOracle(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(t *rapid.T) {
		m := &queueMachine{queue: route.NewQueue[int](queueLimit), now: time.Unix(1000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"push":   m.push,
			"return": m.giveBack,
			"pop":    m.pop,
			"leave":  m.leave,
			"wait":   m.wait,
			"": func(t *rapid.T) {
				steps++
				m.check(t)
			},
		})
	})
}
