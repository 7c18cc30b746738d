package entry

import (
	"errors"
	"io"
	"net/http"
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
	// headerLineBytes is what a header line takes beside its bytes.
	headerLineBytes = 128
	// requestBytes is what a request takes beside its head and body: stacks and buffers.
	requestBytes = 16 << 10
	// bodyPieceBytes is the first piece of a body that is read; the next ones double.
	bodyPieceBytes = 16 << 10
	// memoryRetryDelay is the Retry-After of a request that the budget has no room for.
	memoryRetryDelay = 500 * time.Millisecond
)

// setMemoryLimit makes the collector work harder before the process outgrows its host.
func setMemoryLimit(hostBytes int64) {
	if hostBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(hostBytes)))
	}
}

// headBytes is about what the head of a request takes in memory.
func headBytes(r *http.Request) int64 {
	n := int64(requestBytes + len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			n += int64(headerLineBytes + len(name) + len(value))
		}
	}
	return n
}

// openHold begins to account for the memory of a request. If there is none, it writes the error
// response and reports false.
func (cr *callerRequest) openHold() bool {
	controller := http.NewResponseController(cr.w)
	cr.hold = cr.handler.memory.Open(func() {
		past := time.Unix(1, 0)
		// An error means that the connection has ended.
		_ = controller.SetReadDeadline(past)
		_ = controller.SetWriteDeadline(past)
	})
	if err := cr.hold.Grow(time.Now(), headBytes(cr.r)); err != nil {
		cr.refuseForMemory()
		return false
	}
	return true
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

// readAll reads a body piece by piece. Its memory is accounted for before each piece is read.
func (cr *callerRequest) readAll(r io.Reader) ([]byte, error) {
	var body []byte
	cr.hold.SetAtRest(time.Now(), true)
	defer func() { cr.hold.SetAtRest(time.Now(), false) }()
	for {
		if len(body) == cap(body) {
			size := max(bodyPieceBytes, 2*cap(body))
			if left := cr.r.ContentLength - int64(len(body)); left >= 0 {
				size = min(size, len(body)+int(left)+1) // one more shows the end
			}
			if err := cr.hold.Grow(time.Now(), int64(size-cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if growErr := cr.hold.Grow(time.Now(), 0); growErr != nil { // notes progress
			return nil, growErr
		}
	}
}
