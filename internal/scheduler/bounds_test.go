package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against state that grows with the names of models that callers choose.
func TestUnconfiguredModelsLeaveNothing(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	s := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
	known := len(s.cell.models)
	for i := range 100 {
		refused := s.cell.Submit(s.now, &Request{Key: uint64(i), Model: fmt.Sprint("none-", i), Deadline: s.now.Add(time.Second)})
		is.Equal(len(refused.Refusals), 1)
	}
	is.Equal(len(s.cell.models), known)
}
