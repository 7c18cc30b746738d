package config

import (
	"fmt"
	"strings"
)

// Fault is one reason why an object set can't be published, or a warning.
type Fault struct {
	// Object is "KIND/NAME", for example "models/manifests-mn". An object
	// without a name is "KIND[INDEX]". It is empty for the set as a whole.
	Object  string `json:"object"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault on one line.
func (f Fault) String() string {
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

// Faults lists all faults of a set in the order of its objects.
type Faults []Fault

// Err returns an *InvalidError that holds the faults, or nil without any.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Faults: f}
}

// InvalidError means that a set was not published because of its faults.
type InvalidError struct {
	Faults Faults
}

// Error lists every fault on a line of its own.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid object set with %d faults; mend them and publish again", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
