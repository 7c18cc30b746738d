package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

// rig plays the agent and the engine around one planner.
type rig struct {
	*testing.T
	p       *Planner
	now     time.Time
	table   uint64
	sent    []SendOrder
	granted map[uint64]Grant
	refused map[uint64]*apiv1.Refusal
	asked   []AskPermit
	answers map[uint64]Released
}

// newRig makes a planner whose engine holds inv.
func newRig(t *testing.T, policy keepalive.Policy, inv external.Inventory) *rig {
	boots := 0
	r := &rig{
		T: t, now: time.Unix(1000, 0),
		granted: make(map[uint64]Grant), refused: make(map[uint64]*apiv1.Refusal), answers: make(map[uint64]Released),
	}
	r.p = New(Options{
		EngineFences: true,
		NewBootID:    func() string { boots++; return fmt.Sprint("boot-", boots) },
		Rand:         rand.New(rand.NewPCG(1, 2)),
		Policy:       policy,
	})
	inv.MemoryTotalMiB = 100
	for range 2 {
		r.take(r.p.Inventory(r.now, r.p.MarkInventory(r.now), inv))
		r.now = r.now.Add(ledger.SettleDelay)
	}
	return r
}

func (r *rig) take(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case SendOrder:
			r.sent = append(r.sent, action)
		case Grant:
			r.granted[action.Request] = action
		case Refuse:
			r.refused[action.Request] = action.Refusal
		case AskPermit:
			r.asked = append(r.asked, action)
		case Released:
			r.answers[action.Release] = action
		}
	}
}

// spec is a slot of 40 MiB whose checkpoint is "MODEL.ckpt".
func spec(model string, generation uint64) *apiv1.SlotSpec {
	return &apiv1.SlotSpec{Model: model, Generation: generation, Epoch: 7, Version: "v1", Checkpoint: model + ".ckpt", MemoryMib: 40}
}

func onDisk(models ...string) external.Inventory {
	var inv external.Inventory
	for _, model := range models {
		inv.Cached = append(inv.Cached, external.CachedCheckpoint{Checkpoint: model + ".ckpt", Tier: external.TierDisk})
	}
	return inv
}

func (r *rig) assign(specs ...*apiv1.SlotSpec) {
	r.Helper()
	r.table++
	actions, err := r.p.Assign(r.now, &apiv1.AssignSlots{BootId: r.p.BootID(), TableRevision: r.table, Slots: specs})
	if err != nil {
		r.Fatal(err)
	}
	r.take(actions)
}

func (r *rig) admit(model string, change func(*Request)) uint64 {
	in := Request{
		ID:       r.p.NewID(),
		Slot:     slots.Named{Key: slots.Key{Model: model}, Generation: 1},
		Deadline: r.now.Add(time.Minute),
	}
	if change != nil {
		change(&in)
	}
	r.take(r.p.Admit(r.now, in))
	return in.ID
}

// engine begins the oldest order that was sent, and ends it after took.
func (r *rig) engine(took time.Duration, err error) external.Order {
	r.Helper()
	if len(r.sent) == 0 {
		r.Fatal("no order was sent")
	}
	id := r.sent[0].Order
	r.sent = r.sent[1:]
	order, ok, actions := r.p.Begin(r.now, id)
	r.take(actions)
	if !ok {
		r.Fatal("the order was dropped")
	}
	r.pass(took)
	r.take(r.p.End(r.now, id, err))
	return order
}

// pass lets time go by, with a heartbeat at least once a second.
func (r *rig) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(time.Second, end.Sub(r.now)))
		r.take(r.p.Tick(r.now))
	}
}

// load makes a model ready.
func (r *rig) load(model string) {
	r.Helper()
	id := r.admit(model, nil)
	r.engine(time.Second, nil)
	r.take(r.p.Finish(r.now, id))
}

var (
	errRefused = &external.Error{Kind: external.KindInvalid, Op: "order"}
	errFenced  = &external.Error{Kind: external.KindFenced, Op: "order"}
	errUnknown = &external.Error{Kind: external.KindUnavailable, Op: "order", OutcomeUnknown: true}
)
