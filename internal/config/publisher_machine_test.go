package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// smallSet is a valid set with one model.
func smallSet() *apiv1.ObjectSet {
	shape := sample.OffcutGiveaway()
	shape.Models, shape.Adapters = 1, 1
	return shape.Set()
}

// publisherMachine lets several operators publish through a table and an object
// store that fail, with others publishing in between.
type publisherMachine struct {
	table      *fakeTable
	objects    *fakeObjects
	publishers []*Publisher
	loader     *Loader // of a router that follows the head
	depth      int
	serial     int

	// The oracle: who published each revision, and with which set.
	committed map[uint64]publicationTried
	head      uint64
	tried     map[string]publicationTried
	unknown   []publicationTried
	dead      map[string]bool // reported as not published
}

type publicationTried struct {
	set     *apiv1.ObjectSet
	options PublishOptions
}

func newPublisherMachine(t *rapid.T) *publisherMachine {
	m := &publisherMachine{
		table:     newFakeTable(),
		objects:   newFakeObjects(),
		committed: make(map[uint64]publicationTried),
		tried:     make(map[string]publicationTried),
		dead:      make(map[string]bool),
	}
	m.loader = NewLoader(m.objects)
	m.table.applied = func(txn external.Txn) { m.apply(t, txn) }
	m.table.next = func(call string) fault { return m.fault(t, call) }
	m.objects.next = m.table.next
	for range 3 {
		m.publishers = append(m.publishers, NewPublisher(m.table, m.objects, PublisherOptions{}))
	}
	return m
}

// fault chooses what happens to a call; another operator may publish first.
func (m *publisherMachine) fault(t *rapid.T, call string) fault {
	const maxDepth = 2
	switch rapid.IntRange(0, 11).Draw(t, call) {
	case 0:
		return faultNotSent
	case 1:
		return faultAnswerLost
	case 2:
		return faultDelayed
	case 3:
		if m.depth < maxDepth {
			m.publishNew(t)
		}
	}
	return faultNone
}

// apply checks each transaction that takes effect against the oracle.
func (m *publisherMachine) apply(t *rapid.T, txn external.Txn) {
	if m.dead[txn.ID] {
		t.Fatalf("%s took effect after it was reported as not published", txn.ID)
	}
	row := &apiv1.HeadRow{}
	if err := proto.Unmarshal(m.table.rows[external.HeadKey].Value, row); err != nil {
		t.Fatal(err)
	}
	if row.GetRevision() != m.head+1 {
		t.Fatalf("head went from %d to %d", m.head, row.GetRevision())
	}
	m.head++
	m.committed[m.head] = m.tried[txn.ID]
}

func (m *publisherMachine) publishNew(t *rapid.T) {
	m.serial++
	set := smallSet()
	set.Deployment.IdleWeight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
	try := publicationTried{set: set, options: PublishOptions{
		Author:  fmt.Sprintf("operator-%d", m.serial),
		Message: "change",
		TxnID:   fmt.Sprintf("txn-%d", m.serial),
	}}
	if rapid.Bool().Draw(t, "expects") {
		expected := rapid.Uint64Range(m.head-min(m.head, 1), m.head).Draw(t, "expected")
		try.options.ExpectRevision = &expected
	}
	m.tried[try.options.TxnID] = try
	m.run(t, try)
}

func (m *publisherMachine) run(t *rapid.T, try publicationTried) {
	m.depth++
	publisher := rapid.SampledFrom(m.publishers).Draw(t, "publisher")
	timeout := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Minute}).Draw(t, "timeout")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	row, err := publisher.Publish(ctx, try.set, try.options)
	cancel()
	m.depth--
	var conflict *ConflictError
	switch {
	case err == nil:
		m.mustHold(t, row, try)
	case errors.As(err, &conflict):
		m.mustHaveLost(t, conflict, try)
	case external.OutcomeUnknown(err):
		m.unknown = append(m.unknown, try)
	case !m.isUnknown(try):
		// A failure that names no unknown outcome certainly published nothing.
		m.mustBeAbsent(t, try)
	}
}

func (m *publisherMachine) mustHold(t *rapid.T, row *apiv1.HeadRow, try publicationTried) {
	winner := m.committed[row.GetRevision()]
	if winner.options.TxnID != try.options.TxnID || row.GetAuthor() != try.options.Author {
		t.Fatalf("%s accepted as revision %d, which is %s", try.options.TxnID, row.GetRevision(), winner.options.TxnID)
	}
	index, err := LoadBody(context.Background(), m.objects, row)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(index.Set, try.set) {
		t.Fatalf("revision %d has another body than was published", row.GetRevision())
	}
}

func (m *publisherMachine) mustHaveLost(t *rapid.T, conflict *ConflictError, try publicationTried) {
	m.mustBeAbsent(t, try)
	winner := m.committed[conflict.Expected+1]
	if conflict.Winner.GetAuthor() != winner.options.Author {
		t.Fatalf("loser learned that %q won, but %q did", conflict.Winner.GetAuthor(), winner.options.Author)
	}
}

// mustBeAbsent checks that a publication has no effect, now and later.
func (m *publisherMachine) mustBeAbsent(t *rapid.T, try publicationTried) {
	for revision, winner := range m.committed {
		if winner.options.TxnID == try.options.TxnID {
			t.Fatalf("%s was reported as not published, but is revision %d", try.options.TxnID, revision)
		}
	}
	m.dead[try.options.TxnID] = true
}

func (m *publisherMachine) isUnknown(try publicationTried) bool {
	for _, u := range m.unknown {
		if u.options.TxnID == try.options.TxnID {
			return true
		}
	}
	return false
}

// repeat sends a publication of unknown outcome again, as the client does: with
// the same transaction id and expected revision, through any router.
func (m *publisherMachine) repeat(t *rapid.T) {
	var safe []publicationTried
	for _, try := range m.unknown {
		if try.options.ExpectRevision != nil {
			safe = append(safe, try)
		}
	}
	if len(safe) == 0 {
		t.Skip("nothing to repeat")
	}
	m.run(t, rapid.SampledFrom(safe).Draw(t, "repeated"))
}

// deliver lets a delayed commit reach the table.
func (m *publisherMachine) deliver(t *rapid.T) {
	if len(m.table.delayed) == 0 {
		t.Skip("nothing is delayed")
	}
	m.table.apply(m.table.delayed[0])
	m.table.delayed = m.table.delayed[1:]
}

func (m *publisherMachine) rejectInvalid(t *rapid.T) {
	set := smallSet()
	set.Models[0].Version = "absent"
	before := m.table.revision
	_, err := m.publishers[0].Publish(context.Background(), set, PublishOptions{})
	var invalid *InvalidError
	if !errors.As(err, &invalid) || m.table.revision != before {
		t.Fatalf("invalid set: %v", err)
	}
}

// check reads the whole history back.
func (m *publisherMachine) check(t *rapid.T) {
	next := m.table.next
	defer func() { m.table.next = next }()
	m.table.next = func(string) fault { return faultNone }
	state, err := m.publishers[0].readHead(context.Background())
	if err != nil || state.row.GetRevision() != m.head {
		t.Fatalf("head is %d, not %d: %v", state.row.GetRevision(), m.head, err)
	}
	if m.head > 0 {
		index, err := m.loader.Load(context.Background(), state.row)
		if err != nil || !proto.Equal(index.Set, m.committed[m.head].set) {
			t.Fatalf("revision %d was read as another set: %v", m.head, err)
		}
	}
	for revision, winner := range m.committed {
		row := m.table.row(external.HistoryKey(revision))
		if row.TxnID != winner.options.TxnID {
			t.Fatalf("revision %d was rewritten by %s", revision, row.TxnID)
		}
	}
}

func TestPublisherStateMachine(t *testing.T) {
	// The waits between retries pass at once in the bubble. It forbids the call
	// of Deadline that rapid makes on a *testing.T, which the struct hides.
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, checkPublisher)
	})
}

func checkPublisher(t *rapid.T) {
	m := newPublisherMachine(t)
	t.Repeat(map[string]func(*rapid.T){
		"publish": m.publishNew,
		"repeat":  m.repeat,
		"deliver": m.deliver,
		"invalid": m.rejectInvalid,
		"":        m.check,
	})
	m.mustPublish(t)
}

// mustPublish checks that a set is accepted once nothing fails.
func (m *publisherMachine) mustPublish(t *rapid.T) {
	m.table.next = func(string) fault { return faultNone }
	m.objects.next = m.table.next
	head := m.head
	try := publicationTried{set: smallSet(), options: PublishOptions{Author: "last", TxnID: "last", ExpectRevision: &head}}
	m.tried["last"] = try
	row, err := m.publishers[0].Publish(context.Background(), try.set, try.options)
	if err != nil {
		t.Fatal(err)
	}
	m.mustHold(t, row, try)
}
