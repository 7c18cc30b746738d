// Package standin provides HTTP stand-ins (fakes) of the platform's table service,
// object store, host list and weight store, of model engines and of plain services,
// for tests and for "ragwortdoord dev".
//
// Each HTTP stand-in injects faults on request and counts its calls; both are also
// reachable under /admin. An engine accepts orders to load and unload models. A fence
// is the fencing token of an order's sender: an engine that checks fences refuses a
// lower one than the highest seen. A boot is one run of an engine between restarts.
package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Faults are the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// Down closes connections without a response; the call has no effect.
	Down bool `json:"down"`
	// Refuse responds with 503; the call has no effect.
	Refuse bool `json:"refuse"`
	// DelayMS delays each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of next writes that take effect but whose
	// connection is closed instead of a response.
	LoseResponses int `json:"lose_answers"`
	// LoseEvery loses the response to each LoseEvery-th write; 0 loses none.
	LoseEvery int `json:"lose_every"`
}

// FaultInjector injects the faults of one stand-in. It is safe for concurrent use.
type FaultInjector struct {
	// canLose selects the writes, whose response can be lost; nil selects every
	// method but GET.
	canLose func(*http.Request) bool

	mu     sync.Mutex
	faults Faults
	writes int
	onCall func()
}

// Set replaces the faults and restarts the count of writes for LoseEvery.
func (i *FaultInjector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.writes = 0
}

// OnCall makes the stand-in call f once the faults of a call are fixed and before
// they are injected, so that a test can change the faults of later calls.
func (i *FaultInjector) OnCall(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onCall = f
}

// faultsForCall returns the faults of one call.
func (i *FaultInjector) faultsForCall() Faults {
	i.mu.Lock()
	faults, onCall := i.faults, i.onCall
	i.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	return faults
}

// Get returns the current faults; LoseResponses counts down.
func (i *FaultInjector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// losesResponse reports whether the response to a call is to be lost, and counts
// the call.
func (i *FaultInjector) losesResponse(r *http.Request) bool {
	if !i.canLoseResponse(r) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writes++
	if i.faults.LoseResponses > 0 {
		i.faults.LoseResponses--
		return true
	}
	return i.faults.LoseEvery > 0 && i.writes%i.faults.LoseEvery == 0
}

func (i *FaultInjector) canLoseResponse(r *http.Request) bool {
	if i.canLose == nil {
		return r.Method != http.MethodGet
	}
	return i.canLose(r)
}

// wrap returns a handler that injects the faults before it calls next.
func (i *FaultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := i.faultsForCall()
		if faults.Down {
			abortConnection()
		}
		if !bufferBody(r) || !retry.Sleep(r.Context(), milliseconds(faults.DelayMS)) {
			abortConnection()
		}
		if faults.Refuse {
			writeError(w, external.KindOverloaded, "told to refuse")
			return
		}
		if i.losesResponse(r) {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			abortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

// abortConnection closes the connection without a complete response.
func abortConnection() { panic(http.ErrAbortHandler) }

// bufferBody reads the complete body, because net/http detects a disconnected
// caller only after that. It reports false if the body was truncated.
func bufferBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil
}

// discardWriter discards a lost response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
