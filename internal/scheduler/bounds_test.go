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

// Guards against state that grows with the parts of prompts: callers choose their tokens, too.
func TestCachedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPrefixCache(1000)
	for i := range 2 * maxCachedParts {
		p.use(&Request{Parts: []PromptPart{{ID: fmt.Sprint(i)}}})
	}
	is.Equal(p.order.Len(), maxCachedParts)
	is.Equal(len(p.byKey), maxCachedParts)
	p.use(&Request{Parts: []PromptPart{{ID: "large", Tokens: 1001}}})
	is.Equal(p.order.Len(), 0)
}
