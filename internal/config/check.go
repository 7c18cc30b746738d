package config

import (
	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Check returns all faults of a set. Without any, the set can be published.
func Check(set *apiv1.ObjectSet, fleet Fleet) Faults {
	return nil
}

// Warnings returns what an operator should know about a set that can be
// published.
func Warnings(set *apiv1.ObjectSet, fleet Fleet) Faults {
	return nil
}

// Change is one difference between two sets.
type Change struct {
	// Object is "KIND/NAME".
	Object string `json:"object"`
	// Field is empty when the whole object was added or removed.
	Field string `json:"field,omitempty"`
	// Action is added, removed or changed.
	Action string `json:"action"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists what turns a into b.
func Diff(a, b *apiv1.ObjectSet) []Change {
	return nil
}
