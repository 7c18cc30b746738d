package external

import (
	"context"
	"net/url"
	"strconv"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

type tableClient struct{ *client }

// NewTableClient returns a client of the table service. Reads are retried within
// the budget. A commit is sent once; see CommitResolved.
func NewTableClient(o ClientOptions) TableService {
	return &tableClient{newClient("table service", o)}
}

// RetryBudget returns the budget that CommitResolved uses.
func (t *tableClient) RetryBudget() *retry.Budget { return t.budget }

// Get implements TableService.
func (t *tableClient) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := t.readJSON(ctx, "table get", "/v1/rows?key="+url.QueryEscape(key), &row)
	return row, err
}

// Changes implements TableService.
func (t *tableClient) Changes(ctx context.Context, prefix string, after int64) (Changes, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	var changes Changes
	err := t.readJSON(ctx, "table changes", "/v1/changes?"+query.Encode(), &changes)
	return changes, err
}

// Commit implements TableService.
func (t *tableClient) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var result TxnResult
	err := t.writeJSON(ctx, "table commit", "/v1/commit", txn, &result)
	return result, err
}
