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
	old, err := p.Body(ctx, 1)
	is.NoErr(err)
	row, err := p.Publish(ctx, old, PublishOptions{Author: "b", Message: "rollback to 1"})
	is.NoErr(err)
	is.Equal(row.GetRevision(), uint64(3)) // a rollback is a new revision
	now, err := p.Body(ctx, 0)
	is.NoErr(err)
	is.True(proto.Equal(now, first))

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

// The history row is written once, so it tells what became of a commit whose
// outcome the table service could not tell.
func TestHistorySettlesAnUnknownCommit(t *testing.T) {
	unknown := &external.Error{Kind: external.KindUnavailable, Op: "commit", OutcomeUnknown: true}
	set := sample.OffcutGiveaway().Set()
	ctx := context.Background()
	publish := func(before func(table external.TableService, objects external.ObjectStore, txn external.Txn)) (*apiv1.HeadRow, error) {
		table, objects := newFakeTable(), newFakeObjects()
		p := NewPublisher(table, objects, PublisherOptions{
			Commit: func(_ context.Context, _ external.TableService, txn external.Txn) (external.TxnResult, error) {
				before(table, objects, txn)
				return external.TxnResult{}, unknown
			},
		})
		return p.Publish(ctx, set, PublishOptions{Author: "saran"})
	}

	t.Run("it took effect", func(t *testing.T) {
		is := is.New(t)
		row, err := publish(func(table external.TableService, _ external.ObjectStore, txn external.Txn) {
			_, err := table.Commit(ctx, txn)
			is.NoErr(err)
		})
		is.NoErr(err)
		is.Equal(row.GetRevision(), uint64(1))
	})
	t.Run("another came first", func(t *testing.T) {
		is := is.New(t)
		_, err := publish(func(table external.TableService, objects external.ObjectStore, _ external.Txn) {
			_, err := NewPublisher(table, objects, PublisherOptions{}).Publish(ctx, set, PublishOptions{Author: "batbayar"})
			is.NoErr(err)
		})
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner.GetAuthor(), "batbayar")
	})
	t.Run("it may come yet", func(t *testing.T) {
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
	var damaged *BodyError
	is.True(errors.As(err, &damaged))

	objects.bodies[head.GetBodyKey()] = body
	index, err := LoadBody(ctx, objects, head)
	is.NoErr(err)
	is.Equal(index.Revision, uint64(4))
}

// A commit whose outcome is unknown is settled by the history row: it is written
// once, so that whoever wrote it has won for good.
func TestUnknownCommitIsSettledByTheHistory(t *testing.T) {
	unknown := &external.Error{Kind: external.KindUnavailable, Op: "commit", OutcomeUnknown: true}
	set := sample.OffcutGiveaway().Set()
	for _, tc := range []struct {
		name     string
		ours     bool // our commit took effect
		theirs   bool // another one did
		accepted bool
		conflict bool
	}{
		{name: "ours", ours: true, accepted: true},
		{name: "another one", theirs: true, conflict: true},
		{name: "none yet"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table, objects := newFakeTable(), newFakeObjects()
			rival := NewPublisher(table, objects, PublisherOptions{})
			p := NewPublisher(table, objects, PublisherOptions{
				Commit: func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
					if tc.theirs {
						_, err := rival.Publish(ctx, set, PublishOptions{Author: "batbayar"})
						is.NoErr(err)
					}
					if tc.ours {
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
