package external

import (
	"context"
	"errors"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	opSettle = "table commit, settled"
	// settleTimeout limits CommitSettled when its context has no deadline.
	settleTimeout = 30 * time.Second
)

const (
	remedySettle  = "read the rows and decide anew; don't repeat the transaction under another id"
	remedyWitness = "add a check on the key of one of the puts"
)

var (
	errNoWitness = errors.New("no put has a check on the same key")
	errUndecided = errors.New("every written row was overwritten since, so nothing tells whether the first send took effect")
)

// CommitResolved commits txn and settles a lost answer by reading back a row
// that txn writes and by sending txn again under the same id. It returns
//
//   - a result, when it is certain that txn took effect once, or that it
//     conflicts and never will take effect;
//   - an *Error with OutcomeUnknown false, when txn never will take effect;
//   - an *Error with OutcomeUnknown true otherwise. Don't call CommitResolved for
//     txn again then: it would not know of the earlier sends.
//
// Txn must have at least one put with a check on the same key, a witness. Once
// txn has taken effect the witness has another version, and versions never go
// back. So a second send finds its check failed, and a send that is still on
// its way can arrive at any time without being applied twice. This holds only
// while nobody deletes a row whose absence txn checks: such a row must not be
// deleted before the deadline of ctx.
//
// Repeated sends are jittered, end with ctx's deadline (30 s when it has none)
// and take from the retry budget of a table made by NewTableClient.
func CommitResolved(ctx context.Context, table TableService, txn Txn) (TxnResult, error) {
	s := &settler{table: table, txn: txn, witnesses: witnessesOf(txn)}
	if len(s.witnesses) == 0 {
		return TxnResult{}, &Error{Kind: KindInvalid, Op: opSettle, Remedy: remedyWitness, Err: errNoWitness}
	}
	ctx, cancel := withDefaultDeadline(ctx, settleTimeout)
	defer cancel()
	policy := retry.Policy{Retryable: isUnsettled}
	err := retry.Do(ctx, policy, budgetOf(table), s.try)
	if err != nil {
		return TxnResult{}, withOutcome(err, s.maybeApplied)
	}
	return s.result, nil
}

// witnessesOf returns the checks on keys that the transaction writes.
func witnessesOf(txn Txn) []Check {
	written := make(map[string]bool, len(txn.Puts))
	for _, put := range txn.Puts {
		written[put.Key] = true
	}
	var witnesses []Check
	for _, check := range txn.Checks {
		if written[check.Key] {
			witnesses = append(witnesses, check)
		}
	}
	return witnesses
}

func withDefaultDeadline(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

// budgetOf returns the retry budget of a client, or nil.
func budgetOf(table TableService) *retry.Budget {
	if client, ok := table.(interface{ RetryBudget() *retry.Budget }); ok {
		return client.RetryBudget()
	}
	return nil
}

func isUnsettled(err error) bool {
	return isTransient(err) && !errors.Is(err, errUndecided)
}

// settler is one CommitSettled.
type settler struct {
	table     TableService
	txn       Txn
	witnesses []Check
	// maybeApplied is set once a send may have taken effect or may still do.
	maybeApplied bool
	result       TxnResult
}

// try sends the transaction, unless a read-back shows that it took effect. It
// returns nil once the result is certain.
func (s *settler) try(ctx context.Context) error {
	if s.maybeApplied {
		applied, err := s.readBack(ctx, s.witnesses[0].Key)
		if applied || err != nil {
			return err
		}
	}
	result, err := s.table.Commit(ctx, s.txn)
	if err != nil {
		s.maybeApplied = s.maybeApplied || OutcomeUnknown(err)
		return err
	}
	if result.Committed {
		s.result = result
		return nil
	}
	return s.settleConflict(ctx, result.Conflicts)
}

// readBack reports whether the transaction wrote the present row of a key.
func (s *settler) readBack(ctx context.Context, key string) (bool, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || row.TxnID != s.txn.ID {
		return false, err
	}
	s.committed(row)
	return true, nil
}

// settleConflict tells a conflict with an earlier send of the same transaction
// from one with another transaction. All conflicts were read at one revision.
func (s *settler) settleConflict(ctx context.Context, conflicts []Row) error {
	present := make(map[string]Row, len(conflicts))
	for _, row := range conflicts {
		if row.TxnID == s.txn.ID {
			s.committed(row)
			return nil
		}
		present[row.Key] = row
	}
	if !s.maybeApplied {
		s.result = TxnResult{Conflicts: conflicts}
		return nil
	}
	for _, witness := range s.witnesses {
		row, changed := present[witness.Key]
		if !changed || leavesNoRoom(witness, row) {
			s.result = TxnResult{Conflicts: conflicts}
			return nil
		}
	}
	return s.settleByOtherPuts(ctx, present)
}

// leavesNoRoom reports whether no transaction can have been applied between the
// checked version and the present row, which another transaction wrote.
func leavesNoRoom(witness Check, row Row) bool {
	return row.Version == witness.Version+1
}

// settleByOtherPuts looks for a written row that no check covered.
func (s *settler) settleByOtherPuts(ctx context.Context, known map[string]Row) error {
	for _, put := range s.txn.Puts {
		if _, ok := known[put.Key]; ok {
			continue
		}
		applied, err := s.readBack(ctx, put.Key)
		if applied || err != nil {
			return err
		}
	}
	return &Error{Kind: KindUnavailable, Op: opSettle, OutcomeUnknown: true, Remedy: remedySettle, Err: errUndecided}
}

func (s *settler) committed(row Row) {
	s.result = TxnResult{Committed: true, Version: row.Version}
}
