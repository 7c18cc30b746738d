// Package standin holds small HTTP stand-ins of the platform, of model engines
// and of plain services, for tests and for "ragwortdoord dev". Each can be told
// to fail, and counts what it saw.
package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Faults are the failures that a stand-in shows. The zero value shows none.
type Faults struct {
	// Down closes connections without an answer and without an effect.
	Down bool `json:"down"`
	// Refuse answers 503 without an effect.
	Refuse bool `json:"refuse"`
	// DelayMS is added to each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of next writes that take effect but whose
	// connection is closed in place of an answer.
	LoseResponses int `json:"lose_answers"`
	// LoseEvery loses the answer of each LoseEvery-th write; 0 loses none.
	LoseEvery int `json:"lose_every"`
}

// FaultInjector holds the faults of one stand-in. It is safe for concurrent use.
type FaultInjector struct {
	// losable selects the calls whose answer can be lost; nil selects every
	// method but GET.
	losable func(*http.Request) bool

	mu     sync.Mutex
	faults Faults
	writes int
	onCall func()
}

// Set replaces the faults.
func (b *FaultInjector) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.writes = 0
}

// OnCall calls f after the faults of each call were chosen and before they are
// shown, so that a test can change the faults of later calls.
func (b *FaultInjector) OnCall(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onCall = f
}

// choose returns the faults of one call.
func (b *FaultInjector) choose() Faults {
	b.mu.Lock()
	faults, onCall := b.faults, b.onCall
	b.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	return faults
}

// Get returns the faults; LoseAnswers counts down.
func (b *FaultInjector) Get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// loses decides whether the answer of a call is lost.
func (b *FaultInjector) loses(r *http.Request) bool {
	if !b.isLosable(r) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	if b.faults.LoseResponses > 0 {
		b.faults.LoseResponses--
		return true
	}
	return b.faults.LoseEvery > 0 && b.writes%b.faults.LoseEvery == 0
}

func (b *FaultInjector) isLosable(r *http.Request) bool {
	if b.losable == nil {
		return r.Method != http.MethodGet
	}
	return b.losable(r)
}

// wrap shows the faults in front of a handler.
func (b *FaultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := b.choose()
		if faults.Down {
			hangUp()
		}
		if !bufferBody(r) || !retry.Sleep(r.Context(), milliseconds(faults.DelayMS)) {
			hangUp()
		}
		if faults.Refuse {
			writeError(w, external.KindOverloaded, "told to refuse")
			return
		}
		if b.loses(r) {
			next.ServeHTTP(&discard{header: make(http.Header)}, r)
			hangUp()
		}
		next.ServeHTTP(w, r)
	})
}

// hangUp closes the connection without an answer.
func hangUp() { panic(http.ErrAbortHandler) }

// bufferBody reads the whole body, since net/http notices that a caller went
// away only after that. It reports false when the body was cut.
func bufferBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
