package ledger

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const totalMiB = 100

// world is an engine that holds memory, beside the ledger that accounts for it.
type world struct {
	now    time.Time
	ledger *Ledger
	// held is what the engine holds; false while a load or unload runs.
	held map[Key]holding
	// late are effects of orders whose answers were lost.
	late []effect
	// answers are inventories on their way to the ledger.
	mark *Mark
	inv  external.Inventory
	boot int
}

type holding struct {
	mib   uint32
	state external.ModelState
}

type effect struct {
	at    time.Time
	boot  int
	apply func()
}

func newWorld() *world {
	w := &world{now: time.Unix(0, 0), ledger: New(), held: make(map[Key]holding)}
	w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
	return w
}

func (w *world) inventory() external.Inventory {
	inv := external.Inventory{BootID: fmt.Sprint(w.boot), MemoryTotalMiB: totalMiB}
	for key, h := range w.held {
		if key.Adapter != "" {
			continue
		}
		model := external.EngineModel{Model: key.Model, MemoryMiB: h.mib, State: h.state}
		for other, a := range w.held {
			if other.Model == key.Model && other.Adapter != "" {
				model.Adapters = append(model.Adapters, external.EngineAdapter{Adapter: other.Adapter, MemoryMiB: a.mib, State: a.state})
			}
		}
		inv.Models = append(inv.Models, model)
	}
	return inv
}

func drawKey(t *rapid.T) Key {
	return Key{
		Model:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"),
		Adapter: rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "adapter"),
	}
}

// load is applied by the engine unless the model of an adapter is gone.
func (w *world) load(key Key, mib uint32, state external.ModelState) {
	if _, ok := w.held[Key{Model: key.Model}]; key.Adapter == "" || ok {
		w.held[key] = holding{mib: mib, state: state}
	}
}

func (w *world) unload(key Key) {
	for other := range w.held {
		if other == key || (key.Adapter == "" && other.Model == key.Model) {
			delete(w.held, other)
		}
	}
}

func (w *world) begin(t *rapid.T) {
	key := drawKey(t)
	if key.Adapter != "" && w.ledger.Get(Key{Model: key.Model}).State != Ready {
		return // a planner loads adapters on ready models only
	}
	if rapid.Bool().Draw(t, "unload") {
		_ = w.ledger.BeginUnload(key)
		return
	}
	mib := uint32(rapid.IntRange(1, 60).Draw(t, "mib"))
	if err := w.ledger.Reserve(key, mib, ""); err != nil {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
		w.ledger.Cancel(key)
		return
	}
	if err := w.ledger.BeginLoad(key); err != nil {
		t.Fatal(err)
	}
}

// end finishes an order in flight, with one of its possible endings.
func (w *world) end(t *rapid.T) {
	key := drawKey(t)
	entry := w.ledger.Get(key)
	var apply func()
	var finish func(Key, Outcome, time.Time)
	switch entry.State {
	case Loading:
		apply = func() { w.load(key, entry.MiB, external.ModelReady) }
		finish = w.ledger.EndLoad
	case Unloading:
		apply = func() { w.unload(key) }
		finish = w.ledger.EndUnload
	default:
		return
	}
	switch rapid.SampledFrom([]string{"done", "not done", "applied", "late", "lost"}).Draw(t, "ending") {
	case "done":
		apply()
		finish(key, Done, w.now)
	case "not done":
		finish(key, NotDone, w.now)
	case "applied":
		apply()
		finish(key, Unknown, w.now)
	case "late":
		at := w.now.Add(SettleDelay - time.Millisecond)
		w.late = append(w.late, effect{at: at, boot: w.boot, apply: apply})
		finish(key, Unknown, w.now)
	case "lost":
		finish(key, Unknown, w.now)
	}
}

func (w *world) pass(t *rapid.T) {
	until := w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	var rest []effect
	for _, e := range w.late {
		switch {
		case e.at.After(until):
			rest = append(rest, e)
		case e.boot == w.boot:
			e.apply()
		}
	}
	w.late = rest
	w.now = until
}

func (w *world) ask(*rapid.T) {
	mark := w.ledger.Mark(w.now)
	w.mark = &mark
	w.inv = w.inventory()
}

func (w *world) answer(*rapid.T) {
	if w.mark != nil {
		w.ledger.Settle(*w.mark, w.inv)
		w.mark = nil
	}
}

func (w *world) restart(*rapid.T) {
	w.boot++
	clear(w.held)
}

func (w *world) check(t *rapid.T) {
	var used, reserved uint32
	for key, h := range w.held {
		used += h.mib
		if entry := w.ledger.Get(key); entry.MiB < h.mib {
			t.Fatalf("engine holds %d MiB of %v, the ledger %v", h.mib, key, entry)
		}
	}
	for _, entry := range w.ledger.Entries() {
		reserved += entry.MiB
	}
	if reserved != w.ledger.ReservedMiB() {
		t.Fatalf("sum of entries is %d, not %d", reserved, w.ledger.ReservedMiB())
	}
	if used > totalMiB || reserved > totalMiB {
		t.Fatalf("%d MiB used, %d reserved, of %d", used, reserved, totalMiB)
	}
}

// settles checks that everything is known a while after the last order ended,
// whatever became of the orders in flight.
func (w *world) settles(t *rapid.T) {
	for key := range w.ledger.Entries() {
		w.ledger.EndLoad(key, Unknown, w.now)
		w.ledger.EndUnload(key, Unknown, w.now)
	}
	for range 2 {
		w.late = nil
		w.now = w.now.Add(2 * SettleDelay)
		w.ask(t)
		w.answer(t)
	}
	for key, entry := range w.ledger.Entries() {
		if entry.State == Unsettled {
			t.Fatalf("%v is never settled", key)
		}
	}
}

func TestLedgerCoversTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "begin too": w.begin, "end": w.end, "end too": w.end,
			"pass": w.pass, "ask": w.ask, "answer": w.answer, "restart": w.restart, "": w.check,
		})
		w.settles(t)
		w.check(t)
	})
}

func TestUnknownOutcomeKeepsItsReservation(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := Key{Model: "m"}
	is.NoErr(w.ledger.Reserve(key, 80, "v1"))
	is.NoErr(w.ledger.BeginLoad(key))
	w.ledger.EndLoad(key, Unknown, w.now)
	is.True(errors.Is(w.ledger.Reserve(Key{Model: "n"}, 80, "v1"), ErrNoRoom))
	w.ledger.Settle(w.ledger.Mark(w.now.Add(time.Second)), w.inventory())
	is.Equal(w.ledger.Get(key).State, Unsettled) // the order may still arrive
	w.ledger.Settle(w.ledger.Mark(w.now.Add(SettleDelay)), w.inventory())
	is.Equal(w.ledger.Get(key).State, Absent)
	is.Equal(w.ledger.FreeMiB(), uint32(totalMiB))
}

func TestLostUnloadMayArriveLate(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := Key{Model: "m"}
	w.held[key] = holding{mib: 70, state: external.ModelReady}
	w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
	is.NoErr(w.ledger.BeginUnload(key))
	w.ledger.EndUnload(key, Unknown, w.now)
	w.ledger.Settle(w.ledger.Mark(w.now.Add(time.Second)), w.inventory())
	is.Equal(w.ledger.Get(key).State, Unsettled) // no request may start on it
	w.ledger.Settle(w.ledger.Mark(w.now.Add(SettleDelay)), w.inventory())
	is.Equal(w.ledger.Get(key).State, Ready)
}

func TestModelThatIsGoneIsNotReadyWhileItsAdapterLoads(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	model, adapter := Key{Model: "m"}, Key{Model: "m", Adapter: "x"}
	w.held[model] = holding{mib: 70, state: external.ModelReady}
	w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
	is.NoErr(w.ledger.Reserve(adapter, 10, ""))
	is.NoErr(w.ledger.BeginLoad(adapter))
	w.restart(nil)
	w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
	is.Equal(w.ledger.Get(model).State, Unsettled)
	is.Equal(w.ledger.ReservedMiB(), uint32(80))
	w.ledger.EndLoad(adapter, Unknown, w.now)
	w.ledger.Settle(w.ledger.Mark(w.now.Add(SettleDelay)), w.inventory())
	is.Equal(w.ledger.ReservedMiB(), uint32(0))
}

func TestOldInventoryDoesNotBringBackWhatWasUnloaded(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := Key{Model: "m"}
	w.held[key] = holding{mib: 70, state: external.ModelReady}
	w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
	is.NoErr(w.ledger.BeginUnload(key))
	mark, old := w.ledger.Mark(w.now), w.inventory()
	w.ledger.EndUnload(key, Done, w.now)
	w.ledger.Settle(mark, old)
	is.Equal(w.ledger.Get(key).State, Absent)
}

func TestInventoryAtStartSeedsTheLedger(t *testing.T) {
	for _, tc := range []struct {
		state external.ModelState
		want  State
	}{
		{external.ModelReady, Ready},
		{external.ModelLoading, Unsettled},
		{external.ModelUnloading, Unsettled},
	} {
		t.Run(string(tc.state), func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.held[Key{Model: "m"}] = holding{mib: 70, state: tc.state}
			w.ledger.Settle(w.ledger.Mark(w.now), w.inventory())
			is.Equal(w.ledger.Get(Key{Model: "m"}).State, tc.want)
			is.Equal(w.ledger.FreeMiB(), uint32(30))
		})
	}
}
