package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

const (
	testService     = "bookings"
	testRouters     = 3
	testKeys        = 3
	testFingerprint = 7
)

// attempt is one request for a claim in the state machine.
type attempt struct {
	id     string
	key    string // of the table
	router int
	op     *op
	// sent is true once the call has reached the service.
	sent bool
	// claimed is true once the router was told that it may send.
	claimed bool
	ended   bool
	// died is true when the router was replaced.
	died bool
	// stored is the state that the row must get, once finished.
	stored apiv1.ClaimState
}

// machine drives several routers' writers over one table, synchronously, and
// counts in an oracle what each call did.
type machine struct {
	table    *tabletest.Table
	now      time.Time
	routers  []*Store
	attempts []*attempt
	serial   int
	// runs counts the calls that reached the service, by table key.
	runs map[string]int
	// final is the last outcome row seen for a key.
	final map[string]*apiv1.ClaimRow
}

func newMachine() *machine {
	m := &machine{
		table: tabletest.New(),
		now:   time.Unix(1000, 0),
		runs:  make(map[string]int),
		final: make(map[string]*apiv1.ClaimRow),
	}
	for i := range testRouters {
		m.routers = append(m.routers, m.newRouter(i))
	}
	return m
}

func (m *machine) newRouter(i int) *Store {
	return New(Options{
		Table:    m.table,
		Router:   fmt.Sprintf("r%d", i),
		Now:      func() time.Time { return m.now },
		Log:      quietLog(),
		MaxBatch: 2,
	})
}

// claim starts a request for a claim.
func (m *machine) claim(t *rapid.T) {
	router := rapid.IntRange(0, testRouters-1).Draw(t, "router")
	key := external.ClaimKey(testService, fmt.Sprintf("k%d", rapid.IntRange(0, testKeys-1).Draw(t, "key")))
	m.serial++
	a := &attempt{id: fmt.Sprintf("q%d", m.serial), key: key, router: router}
	a.op = newOp(key, m.reclaimVersion(key), &apiv1.ClaimRow{
		RequestId:   a.id,
		Router:      m.routers[router].opts.Router,
		Fingerprint: testFingerprint,
		State:       apiv1.ClaimState_CLAIM_STATE_CLAIMED,
	})
	if m.routers[router].writer.submitClaim(a.op) == nil {
		m.attempts = append(m.attempts, a)
	}
}

// reclaimVersion is the version of a NOT_RUN row, as Claim learns it from the
// conflict of its first write.
func (m *machine) reclaimVersion(key string) int64 {
	row := m.row(key)
	if reclaimable(decode(row), testFingerprint) {
		return row.Version
	}
	return 0
}

func (m *machine) row(key string) external.Row {
	m.table.SetFault(tabletest.None)
	row, err := m.table.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return row
}

func decode(row external.Row) *apiv1.ClaimRow {
	out := &apiv1.ClaimRow{}
	if err := proto.Unmarshal(row.Value, out); err != nil {
		panic(err)
	}
	return out
}

// flush writes one batch of a router, with a drawn fault.
func (m *machine) flush(t *rapid.T) {
	router := m.routers[rapid.IntRange(0, testRouters-1).Draw(t, "router")]
	m.table.SetFault(rapid.SampledFrom([]tabletest.Fault{
		tabletest.None, tabletest.None, tabletest.Down, tabletest.LostAnswer, tabletest.Delayed,
	}).Draw(t, "fault"))
	m.now = m.now.Add(2 * pauseMax)
	router.writer.flush(context.Background())
	m.collect(t)
}

// collect takes the results of ops and checks them against the oracle.
func (m *machine) collect(t *rapid.T) {
	for _, a := range m.attempts {
		if a.ended || a.claimed {
			continue
		}
		select {
		case res := <-a.op.done:
			m.result(t, a, res)
		default:
		}
	}
}

func (m *machine) result(t *rapid.T, a *attempt, res opResult) {
	switch {
	case a.op.abandoned, res.err != nil:
		a.ended = true
	case res.existing != nil:
		a.ended = true
		if res.existing.GetState() == apiv1.ClaimState_CLAIM_STATE_NOT_RUN && res.existing.GetRequestId() == a.id {
			t.Fatalf("%s was given its own row as another's", a.id)
		}
	default:
		a.claimed = true
		a.op.check = res.version
	}
}

// abandon gives up a request that waits.
func (m *machine) abandon(t *rapid.T) {
	for _, a := range m.open(func(a *attempt) bool { return !a.claimed && !a.op.abandoned }) {
		if rapid.Bool().Draw(t, "abandon") {
			m.routers[a.router].writer.abandon(a.op)
		}
	}
}

func (m *machine) open(want func(*attempt) bool) []*attempt {
	var out []*attempt
	for _, a := range m.attempts {
		if !a.ended && want(a) {
			out = append(out, a)
		}
	}
	return out
}

// send lets the calls whose claim is held reach the service.
func (m *machine) send(t *rapid.T) {
	for _, a := range m.open(func(a *attempt) bool { return a.claimed && !a.sent }) {
		if rapid.Bool().Draw(t, "send") {
			a.sent = true
			m.runs[a.key]++
		}
	}
}

// finish stores outcomes: NOT_RUN only for calls that were not sent.
func (m *machine) finish(t *rapid.T) {
	for _, a := range m.open(func(a *attempt) bool { return a.claimed }) {
		if !rapid.Bool().Draw(t, "finish") {
			continue
		}
		state := apiv1.ClaimState_CLAIM_STATE_NOT_RUN
		if a.sent {
			state = rapid.SampledFrom([]apiv1.ClaimState{apiv1.ClaimState_CLAIM_STATE_DONE, apiv1.ClaimState_CLAIM_STATE_UNKNOWN}).Draw(t, "state")
		}
		a.ended = true
		a.stored = state
		row := finalRow(a.op.row, Outcome{State: state, Status: 200, Body: []byte(a.id)}, m.now)
		m.routers[a.router].writer.submitFinal(newOp(a.key, a.op.check, row))
	}
}

// die replaces a router by a new process. Its requests end wherever they are.
func (m *machine) die(t *rapid.T) {
	i := rapid.IntRange(0, testRouters-1).Draw(t, "router")
	m.routers[i] = m.newRouter(i)
	for _, a := range m.attempts {
		if a.router == i {
			a.ended = true
			a.died = true
		}
	}
}

// arrive lets the commits without an answer take effect late, in any order.
func (m *machine) arrive(t *rapid.T) {
	m.table.Land(func(n int) []int {
		order := make([]int, n)
		for i := range order {
			order[i] = i
		}
		return rapid.Permutation(order).Draw(t, "order")
	})
}

// check holds after each step: a call runs at most once, "not run" is true, and
// an outcome never changes.
func (m *machine) check(t *rapid.T) {
	for i := range testKeys {
		key := external.ClaimKey(testService, fmt.Sprintf("k%d", i))
		claimed := decode(m.row(key))
		if m.runs[key] > 1 {
			t.Fatalf("%s ran %d times", key, m.runs[key])
		}
		if claimed.GetState() == apiv1.ClaimState_CLAIM_STATE_NOT_RUN && m.runs[key] > 0 {
			t.Fatalf("%s is stored as not run and ran", key)
		}
		old := m.final[key]
		if old != nil && !proto.Equal(old, claimed) {
			t.Fatalf("outcome of %s changed from %v to %v", key, old, claimed)
		}
		if claimed.GetState() == apiv1.ClaimState_CLAIM_STATE_DONE || claimed.GetState() == apiv1.ClaimState_CLAIM_STATE_UNKNOWN {
			m.final[key] = claimed
		}
	}
	m.checkHolders(t)
}

// checkHolders demands that at most one request may send under a key.
func (m *machine) checkHolders(t *rapid.T) {
	holders := make(map[string]string)
	for _, a := range m.open(func(a *attempt) bool { return a.claimed }) {
		if other, held := holders[a.key]; held {
			t.Fatalf("%s is held by %s and %s", a.key, other, a.id)
		}
		holders[a.key] = a.id
	}
}

// settle heals the table and demands that every row gets its outcome, unless
// its router died or may still send: a claim that was given up is free again.
func (m *machine) settle(t *rapid.T) {
	m.arrive(t)
	m.table.SetFault(tabletest.None)
	m.now = m.now.Add(2 * pauseMax)
	for _, router := range m.routers {
		for router.Pending() > 0 {
			router.writer.flush(context.Background())
		}
	}
	m.collect(t)
	m.check(t)
	for _, a := range m.attempts {
		row := decode(m.row(a.key))
		if a.died || !a.ended || row.GetRequestId() != a.id {
			continue
		}
		want := a.stored
		if want == 0 {
			want = apiv1.ClaimState_CLAIM_STATE_NOT_RUN
		}
		if row.GetState() != want {
			t.Fatalf("%s left %v, want %v", a.id, row.GetState(), want)
		}
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"flush":   m.flush,
			"abandon": m.abandon,
			"send":    m.send,
			"finish":  m.finish,
			"die":     m.die,
			"arrive":  m.arrive,
			"": func(t *rapid.T) {
				steps++
				m.check(t)
			},
		})
		m.settle(t)
	})
}
