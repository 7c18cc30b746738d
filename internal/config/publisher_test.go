package config

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

func TestHistoryBodyAndRollback(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := NewPublisher(newFakeTable(), newFakeObjects(), PublisherOptions{})
	first := sample.OffcutGiveaway().Set()
	second := sample.StrazcaSal().Set()

	_, err := p.Body(ctx, 0)
	var unknown *RevisionError
	is.True(errors.As(err, &unknown)) // nothing published yet
	for _, set := range []*apiv1.ObjectSet{first, second} {
		_, err := p.Publish(ctx, set, PublishOptions{Author: "a", Message: set.GetDeployment().GetName()})
		is.NoErr(err)
	}
	original, err := p.Body(ctx, 1)
	is.NoErr(err)
	row, err := p.Publish(ctx, original, PublishOptions{Author: "b", Message: "rollback to 1"})
	is.NoErr(err)
	is.Equal(row.GetRevision(), uint64(3)) // a rollback is a new revision
	current, err := p.Body(ctx, 0)
	is.NoErr(err)
	is.True(proto.Equal(current, first))

	rows, err := p.History(ctx, 2)
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[0].GetRevision(), uint64(3))
	is.Equal(rows[1].GetMessage(), "strazca-sal")
	_, err = p.Body(ctx, 9)
	is.True(errors.As(err, &unknown))
}

func TestConflictNamesWinner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := NewPublisher(newFakeTable(), newFakeObjects(), PublisherOptions{})
	set := sample.OffcutGiveaway().Set()
	base := uint64(0)
	_, err := p.Publish(ctx, set, PublishOptions{Author: "batbayar", Message: "winter", ExpectRevision: &base})
	is.NoErr(err)
	_, err = p.Publish(ctx, set, PublishOptions{Author: "saran", ExpectRevision: &base})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.GetAuthor(), "batbayar")
	is.Equal(conflict.Winner.GetRevision(), uint64(1))
}

// Guards against a wrong result of Publish when the outcome of the commit is
// unknown: the history row, which is written once, shows whether it took effect.
func TestHistoryResolvesUnknownCommit(t *testing.T) {
	unknown := &external.Error{Kind: external.KindUnavailable, Op: "commit", OutcomeUnknown: true}
	set := sample.OffcutGiveaway().Set()
	ctx := context.Background()
	publish := func(duringCommit func(table external.TableService, objects external.ObjectStore, txn external.Txn)) (*apiv1.HeadRow, error) {
		table, objects := newFakeTable(), newFakeObjects()
		p := NewPublisher(table, objects, PublisherOptions{
			Commit: func(_ context.Context, _ external.TableService, txn external.Txn) (external.TxnResult, error) {
				duringCommit(table, objects, txn)
				return external.TxnResult{}, unknown
			},
		})
		return p.Publish(ctx, set, PublishOptions{Author: "saran"})
	}

	t.Run("committed", func(t *testing.T) {
		is := is.New(t)
		row, err := publish(func(table external.TableService, _ external.ObjectStore, txn external.Txn) {
			_, err := table.Commit(ctx, txn)
			is.NoErr(err)
		})
		is.NoErr(err)
		is.Equal(row.GetRevision(), uint64(1))
	})
	t.Run("another committed first", func(t *testing.T) {
		is := is.New(t)
		_, err := publish(func(table external.TableService, objects external.ObjectStore, _ external.Txn) {
			_, err := NewPublisher(table, objects, PublisherOptions{}).Publish(ctx, set, PublishOptions{Author: "batbayar"})
			is.NoErr(err)
		})
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner.GetAuthor(), "batbayar")
	})
	t.Run("still unknown", func(t *testing.T) {
		is := is.New(t)
		_, err := publish(func(external.TableService, external.ObjectStore, external.Txn) {})
		is.True(external.OutcomeUnknown(err))
	})
}

func TestLoadBodyVerifiesHash(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := newFakeObjects()
	body, err := EncodeSet(sample.OffcutGiveaway().Set())
	is.NoErr(err)
	head := &apiv1.HeadRow{Revision: 4, BodyKey: BodyKey(body)}
	_, err = LoadBody(ctx, objects, head)
	is.Equal(external.KindOf(err), external.KindNotFound)

	objects.bodies[head.GetBodyKey()] = body[:len(body)-1]
	_, err = LoadBody(ctx, objects, head)
	var corrupt *BodyError
	is.True(errors.As(err, &corrupt))

	objects.bodies[head.GetBodyKey()] = body
	index, err := LoadBody(ctx, objects, head)
	is.NoErr(err)
	is.Equal(index.Revision, uint64(4))
}

// Guards against a wrong result of Publish when the outcome of the commit is
// unknown: the history row, which is written once, shows who made the revision.
func TestUnknownCommitIsResolvedByHistory(t *testing.T) {
	unknown := &external.Error{Kind: external.KindUnavailable, Op: "commit", OutcomeUnknown: true}
	set := sample.OffcutGiveaway().Set()
	for _, tc := range []struct {
		name           string
		committed      bool // this publication took effect
		otherCommitted bool // another publication took effect
		accepted       bool
		conflict       bool
	}{
		{name: "committed", committed: true, accepted: true},
		{name: "another committed first", otherCommitted: true, conflict: true},
		{name: "still unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table, objects := newFakeTable(), newFakeObjects()
			rival := NewPublisher(table, objects, PublisherOptions{})
			p := NewPublisher(table, objects, PublisherOptions{
				Commit: func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
					if tc.otherCommitted {
						_, err := rival.Publish(ctx, set, PublishOptions{Author: "batbayar"})
						is.NoErr(err)
					}
					if tc.committed {
						_, err := table.Commit(ctx, txn)
						is.NoErr(err)
					}
					return external.TxnResult{}, unknown
				},
			})
			row, err := p.Publish(ctx, set, PublishOptions{Author: "saran"})
			is.Equal(err == nil, tc.accepted)
			var conflict *ConflictError
			is.Equal(errors.As(err, &conflict), tc.conflict)
			if tc.accepted {
				is.Equal(row.GetAuthor(), "saran")
			}
			if !tc.accepted && !tc.conflict {
				is.True(external.OutcomeUnknown(err))
			}
		})
	}
}
