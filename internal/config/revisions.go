package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// maxParallelHistoryReads limits the concurrent reads of history rows.
const maxParallelHistoryReads = 8

// Head returns the head row, which names the revision in force. Its revision is 0
// before the first publication.
func (p *Publisher) Head(ctx context.Context) (*apiv1.HeadRow, error) {
	head, err := p.readHead(ctx)
	return head.row, err
}

// History returns the rows of up to limit revisions, newest first. Rows that are no
// longer retained are left out.
func (p *Publisher) History(ctx context.Context, limit int) ([]*apiv1.HeadRow, error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	newest := head.row.GetRevision()
	rows := make([]*apiv1.HeadRow, min(uint64(max(limit, 0)), newest))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelHistoryReads)
	for i := range rows {
		group.Go(func() error {
			state, err := p.readRow(ctx, external.HistoryKey(newest-uint64(i)))
			if state.version != 0 {
				rows[i] = state.row
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return withoutMissing(rows), nil
}

// withoutMissing removes nil rows in place.
func withoutMissing(rows []*apiv1.HeadRow) []*apiv1.HeadRow {
	found := rows[:0]
	for _, row := range rows {
		if row != nil {
			found = append(found, row)
		}
	}
	return found
}

// Body returns the object set of a revision; 0 means the one in force. It returns a
// *RevisionError for a revision that does not exist or is no longer retained.
func (p *Publisher) Body(ctx context.Context, revision uint64) (*apiv1.ObjectSet, error) {
	row, err := p.Revision(ctx, revision)
	if err != nil {
		return nil, err
	}
	index, err := LoadBody(ctx, p.objects, row)
	if err != nil {
		return nil, err
	}
	return index.Set, nil
}

// Revision returns the row of a revision; 0 means the one in force. It returns a
// *RevisionError for a revision that does not exist or is no longer retained.
func (p *Publisher) Revision(ctx context.Context, revision uint64) (*apiv1.HeadRow, error) {
	key := external.HeadKey
	if revision != 0 {
		key = external.HistoryKey(revision)
	}
	state, err := p.readRow(ctx, key)
	if err != nil {
		return nil, err
	}
	if state.version == 0 {
		return nil, &RevisionError{Revision: revision}
	}
	return state.row, nil
}
