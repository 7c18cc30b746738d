// Package cli is the operators' command line.
package cli

import (
	"context"
	"io"
)

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return ExitUsage
}

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitNotFound = 3
	ExitConflict = 4
	ExitTimeout  = 5
)
