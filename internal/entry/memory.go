package entry

import (
	"runtime/debug"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// callerMemoryShare is the part of the host's memory that requests and responses of callers
	// may take, heapShare that from which garbage is collected without delay. The rest is for
	// the router itself, stacks and the kernel's buffers.
	callerMemoryShare = 0.2
	heapShare         = 0.5
	// memoryRetryDelay is the Retry-After of a request that the budget has no room for.
	memoryRetryDelay = 500 * time.Millisecond
)

// setMemoryLimit makes the collector work harder before the process outgrows its host.
func setMemoryLimit(hostBytes int64) {
	if hostBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(hostBytes)))
	}
}

// newMemoryBudget returns the budget of a process with the given settings.
func newMemoryBudget(settings Settings) *memory.Budget {
	return memory.NewBudget(memory.Limits{Bytes: int64(callerMemoryShare * float64(settings.MemoryBytes))})
}

// holdResponse accounts for a response, or its buffer, that waits for the caller to read it. Callers
// that don't read make room first; without room the response is sent nevertheless.
func (cr *callerRequest) holdResponse(n int64) {
	cr.hold.Add(time.Now(), n)
	cr.hold.SetAtRest(time.Now(), true)
}

func (cr *callerRequest) refuseForMemory() {
	cr.w.Header().Set("Connection", "close") // what is left of the body is not read
	cr.refuse(memoryRetryDelay, memory.ErrExhausted.Error())
}
