package standin

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// ObjectCounts are the counters of an Objects.
type ObjectCounts struct {
	Puts  int64 `json:"puts"`
	Gets  int64 `json:"gets"`
	Lists int64 `json:"lists"`
}

// Objects stands in for the object store. It refuses to replace an object by another
// body. It is safe for concurrent use.
type Objects struct {
	Faults FaultInjector
	mux    *http.ServeMux

	mu     sync.Mutex
	bodies map[string][]byte
	counts ObjectCounts
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	o := &Objects{bodies: make(map[string][]byte)}
	protocol := http.NewServeMux()
	protocol.HandleFunc("PUT /v1/objects/{key...}", o.handlePut)
	protocol.HandleFunc("GET /v1/objects/{key...}", o.handleGet)
	protocol.HandleFunc("GET /v1/objects", o.handleList)
	o.mux = adminMux(&o.Faults, func() any { return o.Counts() }, protocol)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// Counts returns the counters.
func (o *Objects) Counts() ObjectCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

func (o *Objects) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abortConnection()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Puts++
	key := r.PathValue("key")
	if stored, ok := o.bodies[key]; ok && !bytes.Equal(stored, body) {
		writeError(w, external.KindInvalid, "object "+key+" exists with another body")
		return
	}
	o.bodies[key] = body
}

func (o *Objects) handleGet(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Gets++
	body, ok := o.bodies[r.PathValue("key")]
	if !ok {
		writeError(w, external.KindNotFound, "no object "+r.PathValue("key"))
		return
	}
	_, _ = w.Write(body)
}

func (o *Objects) handleList(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Lists++
	prefix := r.URL.Query().Get("prefix")
	keys := []string{}
	for _, key := range slices.Sorted(maps.Keys(o.bodies)) {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	writeJSON(w, keys)
}
