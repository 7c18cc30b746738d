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

// smallSet returns a valid set with one model.
func smallSet() *apiv1.ObjectSet {
	shape := sample.OffcutGiveaway()
	shape.Models, shape.Adapters = 1, 1
	return shape.Set()
}

// publisherMachine publishes sets of several operators through a table service and
// an object store with injected faults. Publications overlap: one may run within a
// call of another.
type publisherMachine struct {
	table      *fakeTable
	objects    *fakeObjects
	publishers []*Publisher
	loader     *Loader // of a router that follows the head
	depth      int     // of nested publications
	lastID     int

	// The oracle: the publication that made each revision, the latest revision,
	// and by transaction ID every attempt and its known outcome.
	committed      map[uint64]publishAttempt
	head           uint64
	attempts       map[string]publishAttempt
	unknownOutcome []publishAttempt
	notPublished   map[string]bool
}

type publishAttempt struct {
	set     *apiv1.ObjectSet
	options PublishOptions
}

func newPublisherMachine(t *rapid.T) *publisherMachine {
	m := &publisherMachine{
		table:        newFakeTable(),
		objects:      newFakeObjects(),
		committed:    make(map[uint64]publishAttempt),
		attempts:     make(map[string]publishAttempt),
		notPublished: make(map[string]bool),
	}
	m.loader = NewLoader(m.objects)
	m.table.onApply = func(txn external.Txn) { m.checkApplied(t, txn) }
	m.table.nextFault = func(call string) fault { return m.drawFault(t, call) }
	m.objects.nextFault = m.table.nextFault
	for range 3 {
		m.publishers = append(m.publishers, NewPublisher(m.table, m.objects, PublisherOptions{}))
	}
	return m
}

// drawFault draws the fault of a call; another operator may publish first.
func (m *publisherMachine) drawFault(t *rapid.T, call string) fault {
	const maxDepth = 2
	switch rapid.IntRange(0, 11).Draw(t, call) {
	case 0:
		return faultNotSent
	case 1:
		return faultReplyLost
	case 2:
		return faultDelayed
	case 3:
		if m.depth < maxDepth {
			m.publishNew(t)
		}
	}
	return faultNone
}

// checkApplied checks a transaction that has taken effect against the oracle and
// records it there.
func (m *publisherMachine) checkApplied(t *rapid.T, txn external.Txn) {
	if m.notPublished[txn.ID] {
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
	m.committed[m.head] = m.attempts[txn.ID]
}

func (m *publisherMachine) publishNew(t *rapid.T) {
	m.lastID++
	set := smallSet()
	set.Deployment.IdleWeight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
	attempt := publishAttempt{set: set, options: PublishOptions{
		Author:  fmt.Sprintf("operator-%d", m.lastID),
		Message: "change",
		TxnID:   fmt.Sprintf("txn-%d", m.lastID),
	}}
	if rapid.Bool().Draw(t, "expects") {
		expected := rapid.Uint64Range(m.head-min(m.head, 1), m.head).Draw(t, "expected")
		attempt.options.ExpectRevision = &expected
	}
	m.attempts[attempt.options.TxnID] = attempt
	m.publish(t, attempt)
}

func (m *publisherMachine) publish(t *rapid.T, attempt publishAttempt) {
	m.depth++
	publisher := rapid.SampledFrom(m.publishers).Draw(t, "publisher")
	timeout := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Minute}).Draw(t, "timeout")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	row, err := publisher.Publish(ctx, attempt.set, attempt.options)
	cancel()
	m.depth--
	var conflict *ConflictError
	switch {
	case err == nil:
		m.requireCommitted(t, row, attempt)
	case errors.As(err, &conflict):
		m.requireConflict(t, conflict, attempt)
	case external.OutcomeUnknown(err):
		m.unknownOutcome = append(m.unknownOutcome, attempt)
	case !m.hasUnknownOutcome(attempt):
		// An error without OutcomeUnknown means that nothing was published.
		m.requireNotPublished(t, attempt)
	}
}

func (m *publisherMachine) requireCommitted(t *rapid.T, row *apiv1.HeadRow, attempt publishAttempt) {
	winner := m.committed[row.GetRevision()]
	if winner.options.TxnID != attempt.options.TxnID || row.GetAuthor() != attempt.options.Author {
		t.Fatalf("%s accepted as revision %d, which is %s", attempt.options.TxnID, row.GetRevision(), winner.options.TxnID)
	}
	index, err := LoadBody(context.Background(), m.objects, row)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(index.Set, attempt.set) {
		t.Fatalf("revision %d has another set than was published", row.GetRevision())
	}
}

func (m *publisherMachine) requireConflict(t *rapid.T, conflict *ConflictError, attempt publishAttempt) {
	m.requireNotPublished(t, attempt)
	winner := m.committed[conflict.Expected+1]
	if conflict.Winner.GetAuthor() != winner.options.Author {
		t.Fatalf("conflict names %q as the winner, but %q won", conflict.Winner.GetAuthor(), winner.options.Author)
	}
}

// requireNotPublished checks that a publication has had no effect; checkApplied
// then checks that it has none later.
func (m *publisherMachine) requireNotPublished(t *rapid.T, attempt publishAttempt) {
	for revision, winner := range m.committed {
		if winner.options.TxnID == attempt.options.TxnID {
			t.Fatalf("%s was reported as not published, but is revision %d", attempt.options.TxnID, revision)
		}
	}
	m.notPublished[attempt.options.TxnID] = true
}

func (m *publisherMachine) hasUnknownOutcome(attempt publishAttempt) bool {
	for _, u := range m.unknownOutcome {
		if u.options.TxnID == attempt.options.TxnID {
			return true
		}
	}
	return false
}

// repeatUnknown repeats a publication of unknown outcome as the operator's client
// does: with the same transaction ID and expected revision, through any router.
func (m *publisherMachine) repeatUnknown(t *rapid.T) {
	var repeatable []publishAttempt
	for _, attempt := range m.unknownOutcome {
		if attempt.options.ExpectRevision != nil {
			repeatable = append(repeatable, attempt)
		}
	}
	if len(repeatable) == 0 {
		t.Skip("nothing to repeat")
	}
	m.publish(t, rapid.SampledFrom(repeatable).Draw(t, "repeated"))
}

// applyDelayed applies the oldest delayed commit to the table.
func (m *publisherMachine) applyDelayed(t *rapid.T) {
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

// checkOracle reads the head, its set and all history rows and compares them with
// the oracle.
func (m *publisherMachine) checkOracle(t *rapid.T) {
	nextFault := m.table.nextFault
	defer func() { m.table.nextFault = nextFault }()
	m.table.nextFault = func(string) fault { return faultNone }
	current, err := m.publishers[0].readHead(context.Background())
	if err != nil || current.row.GetRevision() != m.head {
		t.Fatalf("head is %d, not %d: %v", current.row.GetRevision(), m.head, err)
	}
	if m.head > 0 {
		index, err := m.loader.Load(context.Background(), current.row)
		if err != nil || !proto.Equal(index.Set, m.committed[m.head].set) {
			t.Fatalf("revision %d was loaded as another set: %v", m.head, err)
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
	// In the synctest bubble the delays between retries take no real time. The
	// struct hides the Deadline method of *testing.T, which rapid would call and
	// which must not be called in a bubble.
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, checkPublisher)
	})
}

func checkPublisher(t *rapid.T) {
	m := newPublisherMachine(t)
	t.Repeat(map[string]func(*rapid.T){
		"publish": m.publishNew,
		"repeat":  m.repeatUnknown,
		"deliver": m.applyDelayed,
		"invalid": m.rejectInvalid,
		"":        m.checkOracle,
	})
	m.requirePublishSucceeds(t)
}

// requirePublishSucceeds checks that a set is published when no call fails.
func (m *publisherMachine) requirePublishSucceeds(t *rapid.T) {
	m.table.nextFault = func(string) fault { return faultNone }
	m.objects.nextFault = m.table.nextFault
	head := m.head
	attempt := publishAttempt{set: smallSet(), options: PublishOptions{Author: "last", TxnID: "last", ExpectRevision: &head}}
	m.attempts["last"] = attempt
	row, err := m.publishers[0].Publish(context.Background(), attempt.set, attempt.options)
	if err != nil {
		t.Fatal(err)
	}
	m.requireCommitted(t, row, attempt)
}
