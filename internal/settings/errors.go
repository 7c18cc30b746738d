package settings

import (
	"fmt"
	"strings"
)

// Error means that a settings file can't be used. Daemons exit with status 2.
type Error struct {
	Path     string
	Problems []Problem
}

// Error lists every fault on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings %s have %d faults; mend them and start again", e.Path, len(e.Problems)))
	for _, f := range e.Problems {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
