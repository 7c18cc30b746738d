package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// newInspectedCell returns a cell with one engine that has m0 and m1 loaded, and whose first
// report is asked for but not there yet.
func newInspectedCell(now time.Time, up *fleet.Upstream) *Cell {
	cell := New(Options{Holder: "router-1", Fence: 1, LoadWindow: 5 * time.Second})
	cell.Update(now, testSpec(5), []*fleet.Upstream{up})
	cell.AllowOrders(now)
	return cell
}

func inventoryOf(startedMs, orders int64, models ...fleet.LoadedModel) fleet.Inventory {
	return fleet.Inventory{StartedMs: startedMs, Orders: orders, Models: models}
}

func testUpstream(startedMs, sequence int64, models ...fleet.LoadedModel) *fleet.Upstream {
	return &fleet.Upstream{ID: "e1", Service: "llm", Addr: "127.0.0.1:1", Slots: 64, StartedMs: startedMs, Sequence: sequence, Models: models}
}

// Guards against books that go back: the report was on its way for long, and the engine has
// accepted an order since it was asked for.
func TestReportThatIsOlderThanAnOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	m0 := fleet.LoadedModel{Name: "m0"}
	cell := newInspectedCell(now, testUpstream(1, 1, m0))
	cell.HandleInventory(now, "e1", inventoryOf(1, 4, m0), nil)
	e := cell.engines["e1"]
	cell.inspect(now, e, 0)
	now = now.Add(10 * time.Millisecond)
	orders := cell.Submit(now, &Request{Key: 1, Model: "m0", Adapter: "a1", PromptTokens: 100, Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}).Orders
	is.Equal(len(orders), 1)
	cell.HandleOrderResult(now, "e1", orders[0].Order, fleet.OrderAccepted)
	is.Equal(e.orders, int64(5))
	now = now.Add(2 * maxReportAge)
	cell.HandleInventory(now, "e1", inventoryOf(1, 4, m0), nil)
	is.Equal(e.orders, int64(5))
	is.True(e.adapter("m0", "a1") != nil) // it still counts as using a slot

	// A report that was asked for since does count.
	cell.inspect(now, e, 0)
	e.inspectedAt = now
	cell.HandleInventory(now, "e1", inventoryOf(1, 4, m0), nil)
	is.Equal(e.orders, int64(4))
}

// Guards against the memory of a former incarnation: its report arrives after the
// registration of the next one.
func TestReportOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	cell := newInspectedCell(now, testUpstream(2, 1))
	actions := cell.HandleInventory(now, "e1", inventoryOf(1, 9, fleet.LoadedModel{Name: "m0"}), nil)
	e := cell.engines["e1"]
	is.Equal(e.orders, int64(-1)) // still unknown
	is.Equal(len(e.replicas), 0)
	is.Equal(len(actions.Inspects), 1)
}

// The same for its registration, after the report of the next one.
func TestRegistrationOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	m0 := fleet.LoadedModel{Name: "m0"}
	cell := newInspectedCell(now, testUpstream(1, 1, m0))
	cell.HandleInventory(now, "e1", inventoryOf(2, 0), nil)
	late := testUpstream(1, 7, m0)
	late.Cordoned = true // by an operator, whatever the incarnation
	cell.Update(now.Add(time.Minute), testSpec(5), []*fleet.Upstream{late})
	e := cell.engines["e1"]
	is.Equal(e.up.StartedMs, int64(2))
	is.Equal(len(e.replicas), 0)
	is.True(!e.up.TakesWork())
}

// Guards against a load that is given up: a report that is asked for because a request broke
// off comes while the next one is due only later.
func TestReportBeforeTheOneThatIsDue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	m0 := fleet.LoadedModel{Name: "m0"}
	cell := newInspectedCell(now, testUpstream(1, 1, m0))
	cell.HandleInventory(now, "e1", inventoryOf(1, 4, m0), nil)
	e := cell.engines["e1"]
	orders := cell.Submit(now, &Request{Key: 1, Model: "m1", PromptTokens: 100, Objective: now.Add(time.Second), Deadline: now.Add(20 * time.Second)}).Orders
	is.Equal(len(orders), 1)
	cell.HandleOrderResult(now, "e1", orders[0].Order, fleet.OrderAccepted)
	is.True(e.inspectedAt.After(now.Add(maxReportAge))) // when the load is expected to be over
	now = now.Add(maxReportAge / 2)
	cell.HandleInventory(now, "e1", inventoryOf(1, 4, m0), nil)
	is.Equal(e.orders, int64(5))
	is.True(e.plan != nil)
}
