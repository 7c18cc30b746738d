package config

import (
	"fmt"
	"strings"
)

// Problem is one reason why an object set can't be published, or a warning.
type Problem struct {
	// Object is "KIND/NAME", for example "models/manifests-mn". An object
	// without a name is "KIND[INDEX]". It is empty for the set as a whole.
	Object  string `json:"object"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault on one line.
func (f Problem) String() string {
	place := f.Object
	switch {
	case place == "":
		place = f.Field
	case f.Field != "":
		place += "." + f.Field
	}
	if place == "" {
		place = "set"
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Remedy)
}

// Problems lists all faults of a set in the order of its objects.
type Problems []Problem

// Err returns an *InvalidError that holds the faults, or nil without any.
func (f Problems) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Problems: f}
}

// InvalidError means that a set was not published because of its faults.
type InvalidError struct {
	Problems Problems
}

// Error lists every fault on a line of its own.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid object set with %d faults; mend them and publish again", len(e.Problems)))
	for _, f := range e.Problems {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
