package config

import (
	"fmt"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// ConflictError means that another publication made the revision first. The set of
// this one was not published.
type ConflictError struct {
	// Expected is the revision that this publication was to follow.
	Expected uint64
	// Winner is the row of the publication that followed Expected instead, or
	// Head if that row is missing.
	Winner *apiv1.HeadRow
	// Head is the row of the revision in force.
	Head *apiv1.HeadRow
}

// Error describes the conflict, with the winner if it is known, and the remedy.
func (e *ConflictError) Error() string {
	if e.Winner.GetRevision() <= e.Expected {
		return fmt.Sprintf("conflict: revision %d was expected, but %d is in force; read it with \"get\" and apply again",
			e.Expected, e.Head.GetRevision())
	}
	at := time.UnixMilli(e.Winner.GetUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("conflict: %q published revision %d at %s (%q) and revision %d is in force; see \"diff %d\", merge and apply again",
		e.Winner.GetAuthor(), e.Winner.GetRevision(), at, e.Winner.GetMessage(), e.Head.GetRevision(), e.Expected)
}

// RevisionError means that a revision does not exist or is no longer retained.
type RevisionError struct {
	Revision uint64
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not known: choose one that \"history\" lists", e.Revision)
}

// notPublishedError wraps a failure before the commit, after which nothing was
// published.
func notPublishedError(op string, err error) error {
	return &external.Error{
		Kind:   external.KindOf(err),
		Op:     op,
		Remedy: "nothing was published; apply again once the platform responds",
		Err:    err,
	}
}

// unresolvedError wraps a failure to find out which publication made a revision. It
// may have been this one, in an earlier attempt whose reply was lost.
func unresolvedError(revision uint64, err error) error {
	return &external.Error{
		Kind:           external.KindOf(err),
		Op:             fmt.Sprintf("find out who published revision %d", revision),
		OutcomeUnknown: true,
		Remedy:         "see \"history\" once the platform responds",
		Err:            err,
	}
}
