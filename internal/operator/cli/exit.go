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

// Exit codes; the help text describes them.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitNotFound = 3
	ExitConflict = 4
	ExitTimeout  = 5
)

// UsageError reports an invalid command line.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

func usageErrorf(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// onUsageError converts an error of the flag parser to a UsageError.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageErrorf("%v: see --help", err)
}

// NotConfirmedError means that a revision is published, but that some routers
// did not confirm it in time.
type NotConfirmedError struct {
	Revision uint64
	// Routers is the number of routers in the last status.
	Routers     int
	Unconfirmed []operator.NodeStatus
	// StatusErr is why the last status query failed, or nil.
	StatusErr error
}

// Unwrap returns the error of the last status query.
func (e *NotConfirmedError) Unwrap() error { return e.StatusErr }

// Error lists the unconfirmed routers.
func (e *NotConfirmedError) Error() string {
	if e.Routers == 0 && e.StatusErr != nil {
		return fmt.Sprintf("revision %d is published, but no status was received: %v", e.Revision, e.StatusErr)
	}
	if e.Routers == 0 {
		return fmt.Sprintf("revision %d is published, but the status lists no router: check the host list", e.Revision)
	}
	names := make([]string, 0, len(e.Unconfirmed))
	for _, node := range e.Unconfirmed {
		name := fmt.Sprintf("%s (at %d)", node.Host, node.ConfigRevision)
		if node.Problem != "" {
			name = fmt.Sprintf("%s (%s)", node.Host, node.Problem)
		}
		names = append(names, name)
	}
	return fmt.Sprintf("revision %d is published, but %d of %d routers have not confirmed it: %s; check \"ragwortdoor status\"",
		e.Revision, len(e.Unconfirmed), e.Routers, strings.Join(names, ", "))
}

// NotLoggedError means that no log line contains the request id.
type NotLoggedError struct{ ID string }

// Error implements error.
func (e *NotLoggedError) Error() string {
	return fmt.Sprintf("request %q is not in these logs: pass the log of the router that received it, and copy the complete id from the response", e.ID)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		usageErr     *UsageError
		settingsErr  *settings.Error
		notConfirmed *NotConfirmedError
		notLogged    *NotLoggedError
		apiErr       *operator.Error
	)
	switch {
	case errors.As(err, &usageErr), errors.As(err, &settingsErr):
		return ExitUsage
	case errors.As(err, &notConfirmed):
		return ExitTimeout
	case errors.As(err, &notLogged):
		return ExitNotFound
	case errors.As(err, &apiErr):
		return exitCodeForKind(apiErr.Kind)
	default:
		return ExitFailure
	}
}

func exitCodeForKind(kind operator.ErrorKind) int {
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

// printError writes an error and its problems in the selected output format.
func printError(app *cli.Command, stderr io.Writer, err error) {
	var apiErr *operator.Error
	isAPIError := errors.As(err, &apiErr)
	if app.String(flagOutput) == outputJSON {
		if !isAPIError {
			apiErr = &operator.Error{Message: err.Error()}
		}
		// A write error on standard error cannot be reported anywhere.
		_ = json.NewEncoder(stderr).Encode(apiErr)
		return
	}
	fmt.Fprintf(stderr, "error: %v\n", err)
	if !isAPIError {
		return
	}
	for _, problem := range apiErr.Problems {
		fmt.Fprintf(stderr, "  %s\n", problem)
	}
	if apiErr.OutcomeUnknown {
		fmt.Fprintln(stderr, "the change may have taken effect: check \"ragwortdoor history\" or \"ragwortdoor status\" before repeating it")
	}
}
