package entry

import (
	"math"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/KimMachineGun/automemlimit/memlimit"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// callerMemoryShare is the part of the host's memory that requests and responses of callers
	// may take, heapShare that from which garbage is collected without delay. The rest is for
	// the router itself, stacks and the kernel's buffers.
	callerMemoryShare = 0.2
	heapShare         = 0.5
	// acceptedShare is the part of the descriptors that accepted connections may take, and
	// connectionShare that of them, of as many to upstreams under their requests, and of idle
	// ones to upstreams. The rest is for the store, other routers and files.
	acceptedShare   = 0.4
	connectionShare = 0.9
	// promptPartBytes is what a part of a prompt takes in a request and in what is asked of the
	// scheduler for it.
	promptPartBytes = 256
	// memoryRetryDelay is the Retry-After of a request that the budget has no room for.
	memoryRetryDelay = 500 * time.Millisecond
)

// hostMemory returns the memory of the host in bytes by the settings, or else what the process's
// control group or the machine has; 0 if that is not known.
func hostMemory(settings Settings) int64 {
	if settings.MemoryBytes > 0 {
		return settings.MemoryBytes
	}
	machine, err := memlimit.FromSystem()
	if err != nil {
		return 0
	}
	if group, err := memlimit.FromCgroup(); err == nil { // an error stands for no limit
		machine = min(machine, group)
	}
	return int64(min(machine, math.MaxInt64))
}

// setMemoryLimit makes the collector work harder before the process outgrows its host.
func setMemoryLimit(hostBytes int64) {
	if hostBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(hostBytes)))
	}
}

// newMemoryBudget returns the budget of a process on a host with hostBytes; 0 stands for what is not
// known.
func newMemoryBudget(hostBytes int64, descriptors int) *memory.Budget {
	return memory.NewBudget(memory.Limits{
		Bytes:   int64(callerMemoryShare * float64(hostBytes)),
		Holders: int(acceptedShare * float64(descriptors)),
	})
}

// maxIdle returns how many idle connections to upstreams the process may keep at the moment.
func (p *Process) maxIdle() int {
	if p.descriptors == 0 {
		return math.MaxInt
	}
	return int(connectionShare*float64(p.descriptors)) - 2*p.memory.Use().Holders
}

// maxDescriptors returns how many descriptors the process may have open by its settings and by the
// limit of the process, 0 if neither is known.
func maxDescriptors(settings Settings) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return settings.MaxDescriptors
	}
	most := int(min(limit.Cur, math.MaxInt32))
	if settings.MaxDescriptors > 0 {
		most = min(most, settings.MaxDescriptors)
	}
	return most
}

// holdResponse accounts for a response, or its buffer, that waits for the caller to read it. Without
// room the response is sent nevertheless.
func (cr *callerRequest) holdResponse(n int64) { cr.hold.Add(time.Now(), n) }

// callerWriter writes to a caller, who may keep the router waiting meanwhile.
type callerWriter struct {
	w    http.ResponseWriter
	hold *memory.Hold
}

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	w.hold.SetAtRest(time.Now(), true)
	defer func() { w.hold.SetAtRest(time.Now(), false) }()
	return w.w.Write(p)
}

// writeNow writes p and everything before it to the caller's connection.
func (w callerWriter) writeNow(p []byte) error {
	w.hold.SetAtRest(time.Now(), true)
	defer func() { w.hold.SetAtRest(time.Now(), false) }()
	if _, err := w.w.Write(p); err != nil {
		return err
	}
	if flusher, ok := w.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

func (cr *callerRequest) writer() callerWriter { return callerWriter{cr.w, cr.hold} }

func (cr *callerRequest) refuseForMemory() {
	cr.w.Header().Set("Connection", "close") // what is left of the body is not read
	cr.refuse(memoryRetryDelay, memory.ErrExhausted.Error())
}
