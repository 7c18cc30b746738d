package settings

import (
	"fmt"
	"strings"
)

// Error means that a settings file can't be read or is invalid. The daemon then
// exits with status 2.
type Error struct {
	Path     string
	Problems []Problem
}

// Error lists each problem on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings %s have %d problems; correct them and start again", e.Path, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
