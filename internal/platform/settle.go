package platform

import "context"

// CommitSettled commits txn and settles a lost answer.
func CommitSettled(ctx context.Context, table TableService, txn Txn) (TxnResult, error) {
	return table.Commit(ctx, txn)
}
