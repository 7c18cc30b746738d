package external

import (
	"context"
	"errors"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	opCommitResolved = "table commit with outcome resolution"
	// defaultResolveTimeout limits CommitResolved when its context has no deadline.
	defaultResolveTimeout = 30 * time.Second
)

const (
	remedyUnresolved   = "read the rows and decide again; don't repeat the transaction under another id"
	remedyNoCheckOnPut = "add a check on the key of one of the puts"
)

var (
	errNoCheckOnPut      = errors.New("no put has a check on the same key")
	errOutcomeUnresolved = errors.New("every written row was overwritten since; can't determine whether the first attempt took effect")
)

// CommitResolved commits txn. When a response is lost, it resolves the outcome by
// reading back a row that txn writes and by sending txn again under the same id.
// It returns
//
//   - a result, when txn certainly took effect exactly once, or conflicts and
//     never will take effect;
//   - an *Error with OutcomeUnknown false, when txn never will take effect;
//   - an *Error with OutcomeUnknown true otherwise. Don't call CommitResolved for
//     txn again then: it has no record of the earlier attempts.
//
// Txn must have at least one check on a key that it also puts. Once txn has taken
// effect, that row has another version, and versions never decrease. So the check
// fails for a repeated or delayed attempt, and txn is not applied twice. This
// holds only while nobody deletes a row whose absence txn checks: such a row must
// not be deleted before the deadline of ctx.
//
// Retries are jittered, end with ctx's deadline (30 s when it has none) and draw on
// the retry budget of a table made by NewTableClient.
func CommitResolved(ctx context.Context, table TableService, txn Txn) (TxnResult, error) {
	s := &commitResolver{table: table, txn: txn, writtenChecks: checksOnWrittenKeys(txn)}
	if len(s.writtenChecks) == 0 {
		return TxnResult{}, &Error{Kind: KindInvalid, Op: opCommitResolved, Remedy: remedyNoCheckOnPut, Err: errNoCheckOnPut}
	}
	ctx, cancel := withDefaultDeadline(ctx, defaultResolveTimeout)
	defer cancel()
	policy := retry.Policy{Retryable: isRetryable}
	err := retry.Do(ctx, policy, budgetOf(table), s.try)
	if err != nil {
		return TxnResult{}, withOutcomeUnknown(err, s.mayHaveApplied)
	}
	return s.result, nil
}

// checksOnWrittenKeys returns the checks on keys that the transaction also puts.
func checksOnWrittenKeys(txn Txn) []Check {
	written := make(map[string]bool, len(txn.Puts))
	for _, put := range txn.Puts {
		written[put.Key] = true
	}
	var checks []Check
	for _, check := range txn.Checks {
		if written[check.Key] {
			checks = append(checks, check)
		}
	}
	return checks
}

func withDefaultDeadline(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

// budgetOf returns the retry budget of a table client, or nil.
func budgetOf(table TableService) *retry.Budget {
	if client, ok := table.(interface{ RetryBudget() *retry.Budget }); ok {
		return client.RetryBudget()
	}
	return nil
}

func isRetryable(err error) bool {
	return isTransient(err) && !errors.Is(err, errOutcomeUnresolved)
}

// commitResolver is the state of one CommitResolved.
type commitResolver struct {
	table         TableService
	txn           Txn
	writtenChecks []Check
	// mayHaveApplied is set once an attempt may have taken effect or may still do so.
	mayHaveApplied bool
	result         TxnResult
}

// try sends the transaction unless reading back shows that it took effect. It
// returns nil once s.result is final.
func (s *commitResolver) try(ctx context.Context) error {
	if s.mayHaveApplied {
		applied, err := s.readBack(ctx, s.writtenChecks[0].Key)
		if applied || err != nil {
			return err
		}
	}
	result, err := s.table.Commit(ctx, s.txn)
	if err != nil {
		s.mayHaveApplied = s.mayHaveApplied || OutcomeUnknown(err)
		return err
	}
	if result.Committed {
		s.result = result
		return nil
	}
	return s.resolveConflict(ctx, result.Conflicts)
}

// readBack reports whether the current row of a key was written by the transaction.
func (s *commitResolver) readBack(ctx context.Context, key string) (bool, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || row.TxnID != s.txn.ID {
		return false, err
	}
	s.committed(row)
	return true, nil
}

// resolveConflict distinguishes a conflict with an earlier attempt of the same
// transaction from one with another transaction. All conflicts were read at one
// revision.
func (s *commitResolver) resolveConflict(ctx context.Context, conflicts []Row) error {
	current := make(map[string]Row, len(conflicts))
	for _, row := range conflicts {
		if row.TxnID == s.txn.ID {
			s.committed(row)
			return nil
		}
		current[row.Key] = row
	}
	if !s.mayHaveApplied {
		s.result = TxnResult{Conflicts: conflicts}
		return nil
	}
	for _, check := range s.writtenChecks {
		row, changed := current[check.Key]
		if !changed || directlyFollows(check, row) {
			s.result = TxnResult{Conflicts: conflicts}
			return nil
		}
	}
	return s.resolveByOtherPuts(ctx, current)
}

// directlyFollows reports whether row, written by another transaction, is the next
// table revision after the checked version, so that no transaction can have been
// applied in between.
func directlyFollows(check Check, row Row) bool {
	return row.Version == check.Version+1
}

// resolveByOtherPuts reads back the written rows that are not in known.
func (s *commitResolver) resolveByOtherPuts(ctx context.Context, known map[string]Row) error {
	for _, put := range s.txn.Puts {
		if _, ok := known[put.Key]; ok {
			continue
		}
		applied, err := s.readBack(ctx, put.Key)
		if applied || err != nil {
			return err
		}
	}
	return &Error{Kind: KindUnavailable, Op: opCommitResolved, OutcomeUnknown: true, Remedy: remedyUnresolved, Err: errOutcomeUnresolved}
}

func (s *commitResolver) committed(row Row) {
	s.result = TxnResult{Committed: true, Version: row.Version}
}
