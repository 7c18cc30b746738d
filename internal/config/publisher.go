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

// KeepRevisions is the number of history rows that are kept. Older ones are
// deleted, one with each publication.
const KeepRevisions = 100_000

// deltaTimeout bounds how long a publication waits for its delta, which is only
// an optimization.
const deltaTimeout = time.Second

// CommitFunc commits a transaction and settles a lost answer by repeating it.
type CommitFunc func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error)

// PublisherOptions configure a Publisher.
type PublisherOptions struct {
	// Fleet returns what sets are checked against; nil skips those checks.
	Fleet func() Fleet
	// Commit is external.CommitSettled by default.
	Commit CommitFunc
	// Now is time.Now by default.
	Now func() time.Time
	// Log is discarded by default.
	Log *decisionlog.Logger
}

// Publisher puts object sets in force. It is safe for concurrent use.
type Publisher struct {
	table   external.TableService
	objects external.ObjectStore
	options PublisherOptions
}

// NewPublisher makes a publisher on the platform's services.
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

// PublishOptions describe one publication.
type PublishOptions struct {
	Author  string
	Message string
	// ExpectRevision is the revision that the new one must follow; nil takes
	// the one in force when Publish reads it.
	ExpectRevision *uint64
	// TxnID identifies the publication; empty makes a new one. Publish is
	// idempotent when both TxnID and ExpectRevision are given.
	TxnID string
}

// Publish checks a set and puts it in force as the next revision. A nil error
// means that the revision is committed. It returns an *InvalidError for a set
// with faults, a *ConflictError when another publication took the revision,
// and an error of the platform otherwise; external.OutcomeUnknown then tells
// whether the set may have been published.
func (p *Publisher) Publish(ctx context.Context, set *apiv1.ObjectSet, options PublishOptions) (*apiv1.HeadRow, error) {
	if err := Check(set, p.options.Fleet()).Err(); err != nil {
		return nil, err
	}
	if options.TxnID == "" {
		options.TxnID = "publish-" + rand.Text()
	}
	current, err := p.readHead(ctx)
	if err != nil {
		return nil, notPublished("read the head row", err)
	}
	if row, done, err := p.alreadyDecided(ctx, current, options); done {
		return row, err
	}
	bodyKey, err := p.storeBody(ctx, current.row.GetBodyKey(), set)
	if err != nil {
		return nil, notPublished("store the body", err)
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

// headState is the head row as it was read. Revision 0 means that nothing was
// published yet.
type headState struct {
	row     *apiv1.HeadRow
	version int64
	txnID   string
}

func (p *Publisher) readHead(ctx context.Context) (headState, error) {
	return p.readRow(ctx, external.HeadKey)
}

// readRow reads the head row or a history row.
func (p *Publisher) readRow(ctx context.Context, key string) (headState, error) {
	row, err := p.table.Get(ctx, key)
	if err != nil {
		return headState{}, err
	}
	head := &apiv1.HeadRow{}
	if err := proto.Unmarshal(row.Value, head); err != nil {
		return headState{}, fmt.Errorf("row %s is damaged: restore it from the platform's backup: %w", key, err)
	}
	return headState{row: head, version: row.Version, txnID: row.TxnID}, nil
}

// alreadyDecided reports whether the expected revision has passed, so that no
// commit is needed: this publication took effect in an earlier try, or lost.
func (p *Publisher) alreadyDecided(ctx context.Context, current headState, options PublishOptions) (*apiv1.HeadRow, bool, error) {
	if options.ExpectRevision == nil || *options.ExpectRevision == current.row.GetRevision() {
		return nil, false, nil
	}
	row, err := p.resolve(ctx, *options.ExpectRevision, options.TxnID)
	return row, true, err
}

// storeBody stores the whole body and, for routers that hold the one before, a
// delta. It returns the body's key.
func (p *Publisher) storeBody(ctx context.Context, baseKey string, set *apiv1.ObjectSet) (string, error) {
	plain, err := marshalSet(set)
	if err != nil {
		return "", err
	}
	stored := encoder.EncodeAll(plain, nil)
	key := BodyKey(stored)
	if err := p.objects.Put(ctx, key, stored); err != nil {
		return "", err
	}
	if baseKey == "" || baseKey == key {
		return key, nil
	}
	if err := p.storeDelta(ctx, baseKey, key, plain); err != nil {
		p.options.Log.Warn("delta not stored, routers read the whole body", "body", key, "err", err)
	}
	return key, nil
}

// storeDelta stores what turns the body at baseKey into plain.
func (p *Publisher) storeDelta(ctx context.Context, baseKey, key string, plain []byte) error {
	ctx, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	stored, err := p.objects.Get(ctx, baseKey)
	if err != nil {
		return err
	}
	base, err := openBody(baseKey, stored)
	if err != nil {
		return err
	}
	delta, err := encodeDelta(base.plain, plain)
	if err != nil {
		return err
	}
	return p.objects.Put(ctx, DeltaKey(baseKey, key), delta)
}

// commit writes the head row and the history row of next in one transaction.
func (p *Publisher) commit(ctx context.Context, current headState, next *apiv1.HeadRow, txnID string) (*apiv1.HeadRow, error) {
	txn, err := publication(current, next, txnID)
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
// row is written once, so that whoever wrote it has won for good.
func (p *Publisher) isTaken(ctx context.Context, revision uint64) bool {
	row, err := p.readRow(ctx, external.HistoryKey(revision))
	return err == nil && row.version != 0
}

func publication(current headState, next *apiv1.HeadRow, txnID string) (external.Txn, error) {
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
		// The history row comes first: it is never written again, so its
		// transaction id settles a lost answer for good.
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

// resolve finds out which publication followed base: this one, in an earlier
// try, or another, which is then named in a *ConflictError.
func (p *Publisher) resolve(ctx context.Context, base uint64, txnID string) (*apiv1.HeadRow, error) {
	winner, err := p.readRow(ctx, external.HistoryKey(base+1))
	if err != nil {
		return nil, unsettled(base+1, err)
	}
	if winner.version != 0 && winner.txnID == txnID {
		return winner.row, nil
	}
	head, err := p.readHead(ctx)
	if err != nil {
		return nil, unsettled(base+1, err)
	}
	if winner.version == 0 {
		winner = head
	}
	return nil, &ConflictError{Expected: base, Winner: winner.row, Head: head.row}
}
