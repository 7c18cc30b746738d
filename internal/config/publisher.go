package config

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// KeepRevisions is the number of history rows that are retained. Beyond it, each
// publication deletes the oldest row.
const KeepRevisions = 100_000

// deltaTimeout limits how long a publication waits for the delta to be stored,
// because a delta is only an optimization.
const deltaTimeout = time.Second

// CommitFunc commits a transaction. If a reply is lost, it repeats the transaction
// to resolve the outcome.
type CommitFunc func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error)

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	// Fleet returns the upstream hosts that sets are checked against; nil skips
	// these checks.
	Fleet func() Fleet
	// Commit defaults to external.CommitResolved.
	Commit CommitFunc
	// Now defaults to time.Now.
	Now func() time.Time
	// Log defaults to one that discards the lines.
	Log *decisionlog.Logger
}

// Publisher publishes object sets and reads published ones. It is safe for
// concurrent use.
type Publisher struct {
	table   external.TableService
	objects external.ObjectStore
	options PublisherOptions
}

// NewPublisher returns a publisher that stores rows in table and bodies in objects.
func NewPublisher(table external.TableService, objects external.ObjectStore, options PublisherOptions) *Publisher {
	if options.Fleet == nil {
		options.Fleet = func() Fleet { return Fleet{} }
	}
	if options.Commit == nil {
		options.Commit = external.CommitResolved
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = decisionlog.New(log.FatalLevel)
	}
	return &Publisher{table: table, objects: objects, options: options}
}

// PublishOptions describes one publication.
type PublishOptions struct {
	Author  string
	Message string
	// ExpectRevision is the revision that the new one must follow; nil means the
	// one in force when Publish reads the head row.
	ExpectRevision *uint64
	// TxnID identifies the publication; if it is empty, a random one is generated.
	// Publish is idempotent when both TxnID and ExpectRevision are set.
	TxnID string
}

// Publish checks a set and puts it in force as the next revision. A nil error
// means that the revision is committed. It returns an *InvalidError for a set
// with problems, a *ConflictError when another publication made the revision, and
// an error of the platform otherwise; external.OutcomeUnknown then reports whether
// the set may have been published.
func (p *Publisher) Publish(ctx context.Context, set *apiv1.ObjectSet, options PublishOptions) (*apiv1.HeadRow, error) {
	if err := Check(set, p.options.Fleet()).Err(); err != nil {
		return nil, err
	}
	if options.TxnID == "" {
		options.TxnID = "publish-" + rand.Text()
	}
	current, err := p.readHead(ctx)
	if err != nil {
		return nil, notPublishedError("read the head row", err)
	}
	if row, done, err := p.alreadyDecided(ctx, current, options); done {
		return row, err
	}
	bodyKey, err := p.storeBody(ctx, current.row.GetBodyKey(), set)
	if err != nil {
		return nil, notPublishedError("store the body", err)
	}
	next := &apiv1.HeadRow{
		Revision: current.row.GetRevision() + 1,
		BodyKey:  bodyKey,
		Author:   options.Author,
		Message:  options.Message,
		UnixMs:   p.options.Now().UnixMilli(),
	}
	return p.commit(ctx, current, next, options.TxnID)
}

// revisionRow is a head or history row as read from the table service. A missing
// row has revision 0 and version 0.
type revisionRow struct {
	row     *apiv1.HeadRow
	version int64  // of the row in the table service
	txnID   string // of the transaction that wrote the row
}

func (p *Publisher) readHead(ctx context.Context) (revisionRow, error) {
	return p.readRow(ctx, external.HeadKey)
}

// readRow reads the head row or a history row.
func (p *Publisher) readRow(ctx context.Context, key string) (revisionRow, error) {
	row, err := p.table.Get(ctx, key)
	if err != nil {
		return revisionRow{}, err
	}
	head := &apiv1.HeadRow{}
	if err := proto.Unmarshal(row.Value, head); err != nil {
		return revisionRow{}, fmt.Errorf("row %s is corrupt: restore it from the platform's backup: %w", key, err)
	}
	return revisionRow{row: head, version: row.Version, txnID: row.TxnID}, nil
}

// alreadyDecided reports whether the expected revision is no longer in force. Then
// no commit is needed: either this publication took effect in an earlier attempt,
// or another one did.
func (p *Publisher) alreadyDecided(ctx context.Context, current revisionRow, options PublishOptions) (*apiv1.HeadRow, bool, error) {
	if options.ExpectRevision == nil || *options.ExpectRevision == current.row.GetRevision() {
		return nil, false, nil
	}
	row, err := p.resolve(ctx, *options.ExpectRevision, options.TxnID)
	return row, true, err
}

// storeBody stores the complete body and, for routers that have cached the body at
// baseKey, a delta from it. It returns the key of the body.
func (p *Publisher) storeBody(ctx context.Context, baseKey string, set *apiv1.ObjectSet) (string, error) {
	uncompressed, err := marshalSet(set)
	if err != nil {
		return "", err
	}
	stored := encoder.EncodeAll(uncompressed, nil)
	key := BodyKey(stored)
	if err := p.objects.Put(ctx, key, stored); err != nil {
		return "", err
	}
	if baseKey == "" || baseKey == key {
		return key, nil
	}
	if err := p.storeDelta(ctx, baseKey, key, uncompressed); err != nil {
		p.options.Log.Warn("delta not stored, routers read the whole body", "body", key, "err", err)
	}
	return key, nil
}

// storeDelta stores the delta from the body at baseKey to next, an uncompressed
// body with the given key.
func (p *Publisher) storeDelta(ctx context.Context, baseKey, key string, next []byte) error {
	ctx, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	stored, err := p.objects.Get(ctx, baseKey)
	if err != nil {
		return err
	}
	base, err := decodeBody(baseKey, stored)
	if err != nil {
		return err
	}
	delta, err := encodeDelta(base.uncompressed, next)
	if err != nil {
		return err
	}
	return p.objects.Put(ctx, DeltaKey(baseKey, key), delta)
}

// commit writes the head row and the history row of next in one transaction.
func (p *Publisher) commit(ctx context.Context, current revisionRow, next *apiv1.HeadRow, txnID string) (*apiv1.HeadRow, error) {
	txn, err := publishTxn(current, next, txnID)
	if err != nil {
		return nil, err
	}
	result, err := p.options.Commit(ctx, p.table, txn)
	if external.OutcomeUnknown(err) && p.isTaken(ctx, next.GetRevision()) {
		return p.resolve(ctx, current.row.GetRevision(), txnID)
	}
	if err != nil {
		return nil, fmt.Errorf("commit revision %d: %w", next.GetRevision(), err)
	}
	if !result.Committed {
		return p.resolve(ctx, current.row.GetRevision(), txnID)
	}
	p.options.Log.Info("configuration published", "revision", next.GetRevision(),
		"author", next.GetAuthor(), "message", next.GetMessage(), "body", next.GetBodyKey())
	return next, nil
}

// isTaken reports whether a revision is known to have been published. Its history
// row is written once, so the outcome is then final.
func (p *Publisher) isTaken(ctx context.Context, revision uint64) bool {
	row, err := p.readRow(ctx, external.HistoryKey(revision))
	return err == nil && row.version != 0
}

// publishTxn returns the transaction that publishes next after current.
func publishTxn(current revisionRow, next *apiv1.HeadRow, txnID string) (external.Txn, error) {
	value, err := proto.Marshal(next)
	if err != nil {
		return external.Txn{}, fmt.Errorf("encode head row: %w", err)
	}
	historyKey := external.HistoryKey(next.GetRevision())
	txn := external.Txn{
		ID: txnID,
		Checks: []external.Check{
			{Key: historyKey, Version: 0},
			{Key: external.HeadKey, Version: current.version},
		},
		// The history row comes first: it is never overwritten, so its
		// transaction ID reliably resolves a commit whose reply was lost.
		Puts: []external.Put{
			{Key: historyKey, Value: value},
			{Key: external.HeadKey, Value: value},
		},
	}
	if next.GetRevision() > KeepRevisions {
		txn.Deletes = []string{external.HistoryKey(next.GetRevision() - KeepRevisions)}
	}
	return txn, nil
}

// resolve finds out which publication followed revision base. It returns the row if
// it was the one with txnID, and otherwise a *ConflictError that names the other.
func (p *Publisher) resolve(ctx context.Context, base uint64, txnID string) (*apiv1.HeadRow, error) {
	winner, err := p.readRow(ctx, external.HistoryKey(base+1))
	if err != nil {
		return nil, unresolvedError(base+1, err)
	}
	if winner.version != 0 && winner.txnID == txnID {
		return winner.row, nil
	}
	head, err := p.readHead(ctx)
	if err != nil {
		return nil, unresolvedError(base+1, err)
	}
	if winner.version == 0 {
		winner = head
	}
	return nil, &ConflictError{Expected: base, Winner: winner.row, Head: head.row}
}
