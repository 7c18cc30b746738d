package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitNotFound = 3
	ExitConflict = 4
	ExitTimeout  = 5
)

// UsageError means that the command line itself is wrong.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

func usage(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// usageError takes an error of the flag parser.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usage("%v: see --help", err)
}

// NotConfirmedError means that a revision is published, but that some routers
// have not confirmed it in time.
type NotConfirmedError struct {
	Revision    uint64
	Routers     int
	Unconfirmed []operator.NodeStatus
}

// Error names the nodes.
func (e *NotConfirmedError) Error() string {
	if e.Routers == 0 {
		return fmt.Sprintf("revision %d is published, but no router is listed: check the host list", e.Revision)
	}
	names := make([]string, 0, len(e.Unconfirmed))
	for _, node := range e.Unconfirmed {
		name := fmt.Sprintf("%s (at %d)", node.Host, node.ConfigRevision)
		if node.Problem != "" {
			name = fmt.Sprintf("%s (%s)", node.Host, node.Problem)
		}
		names = append(names, name)
	}
	return fmt.Sprintf("revision %d is published, but %d of %d routers have not confirmed it: %s; look at \"ragwortdoor status\"",
		e.Revision, len(e.Unconfirmed), e.Routers, strings.Join(names, ", "))
}

// NotLoggedError means that no log line names a request.
type NotLoggedError struct{ ID string }

// Error implements error.
func (e *NotLoggedError) Error() string {
	return fmt.Sprintf("no line of these logs names request %q: name the log of the router that took it, and copy the whole id from the answer", e.ID)
}

// exitCode classifies an error.
func exitCode(err error) int {
	var (
		wrongUsage  *UsageError
		wrongFile   *settings.Error
		unconfirmed *NotConfirmedError
		notLogged   *NotLoggedError
		failure     *operator.Error
	)
	switch {
	case errors.As(err, &wrongUsage), errors.As(err, &wrongFile):
		return ExitUsage
	case errors.As(err, &unconfirmed):
		return ExitTimeout
	case errors.As(err, &notLogged):
		return ExitNotFound
	case errors.As(err, &failure):
		return exitCodeOf(failure.Kind)
	default:
		return ExitFailure
	}
}

func exitCodeOf(kind operator.ErrorKind) int {
	switch kind {
	case operator.KindInvalid, operator.KindBadRequest:
		return ExitUsage
	case operator.KindNotFound:
		return ExitNotFound
	case operator.KindConflict:
		return ExitConflict
	default:
		return ExitFailure
	}
}

// printError writes an error, with its faults, in the chosen format.
func printError(app *cli.Command, stderr io.Writer, err error) {
	var failure *operator.Error
	isFailure := errors.As(err, &failure)
	if app.String(flagOutput) == outputJSON {
		if !isFailure {
			failure = &operator.Error{Message: err.Error()}
		}
		// Nothing is left to report a failure of standard error to.
		_ = json.NewEncoder(stderr).Encode(failure)
		return
	}
	fmt.Fprintf(stderr, "error: %v\n", err)
	if !isFailure {
		return
	}
	for _, fault := range failure.Problems {
		fmt.Fprintf(stderr, "  %s\n", fault)
	}
	if failure.OutcomeUnknown {
		fmt.Fprintln(stderr, "the change may have taken effect: look at \"ragwortdoor history\" or \"ragwortdoor status\" before you repeat it")
	}
}
