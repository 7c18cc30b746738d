package config

import (
	"context"
	"crypto/rand"
	"io"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

// commitTries bounds how often a transaction is sent.
const commitTries = 6

// CommitSettled commits a transaction and sends it again after a lost answer.
// Sending it again is safe for a transaction that checks every row it writes:
// once it took effect its checks fail. The caller then finds its id in the
// rows. An error leaves the outcome unknown when platform.OutcomeUnknown says
// so.
func CommitSettled(ctx context.Context, table platform.TableService, txn platform.Txn) (platform.TxnResult, error) {
	return commitRetrying(ctx, table, txn, backoff.NewExponentialBackOff())
}

func commitRetrying(ctx context.Context, table platform.TableService, txn platform.Txn, waits backoff.BackOff) (platform.TxnResult, error) {
	unknown := false
	try := func() (platform.TxnResult, error) {
		result, err := table.Commit(ctx, txn)
		if err == nil {
			return result, nil
		}
		unknown = unknown || platform.OutcomeUnknown(err)
		if platform.KindOf(err) == platform.KindInvalid {
			return result, backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, try, backoff.WithBackOff(waits), backoff.WithMaxTries(commitTries))
	if err != nil {
		return result, &platform.Error{
			Kind:           platform.KindOf(err),
			Op:             "commit",
			OutcomeUnknown: unknown,
			Remedy:         "repeat the command once the table service answers; a repeat has no further effect",
			Err:            err,
		}
	}
	return result, nil
}

func newTxnID() string { return "publish-" + rand.Text() }

func discardLog() *log.Logger { return log.New(io.Discard) }
