package config

import (
	"fmt"
	"strings"
)

// Problem is one reason why an object set can't be published, or a warning.
type Problem struct {
	// Object is "KIND/NAME", for example "models/manifests-mn". An object
	// without a name is "KIND[INDEX]". It is empty for a problem of the set itself.
	Object string `json:"object"`
	// Field is the path of the field within the object, or within the set if
	// Object is empty. It is empty for a problem of the object itself.
	Field string `json:"field"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Remedy says how to fix it.
	Remedy string `json:"remedy"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	location := p.Object
	switch {
	case location == "":
		location = p.Field
	case p.Field != "":
		location += "." + p.Field
	}
	if location == "" {
		location = "set"
	}
	return fmt.Sprintf("%s: %s; %s", location, p.Problem, p.Remedy)
}

// Problems lists all problems of a set in the order of its objects.
type Problems []Problem

// Err returns an *InvalidError with the problems, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return &InvalidError{Problems: p}
}

// InvalidError means that a set was not published because it has problems.
type InvalidError struct {
	Problems Problems
}

// Error returns a summary line and one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid object set with %d problems; fix them and publish again", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
