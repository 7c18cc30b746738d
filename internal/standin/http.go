package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that left gets nothing
}

func writeError(w http.ResponseWriter, kind external.Kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(external.StatusOf(kind))
	_ = json.NewEncoder(w).Encode(external.ErrorBody{Kind: kind.String(), Message: message}) // as in writeJSON
}

// refuse answers that a request did not run.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(external.HeaderOutcome, external.OutcomeNotRun)
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, message) // as in writeJSON
}

// readJSON decodes a call's body. It answers a bad one itself.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	return decode(w, json.NewDecoder(r.Body), into)
}

// readSettings is readJSON for faults and knobs: an unknown field is an error.
func readSettings(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return decode(w, dec, into)
}

func decode(w http.ResponseWriter, dec *json.Decoder, into any) bool {
	if err := dec.Decode(into); err != nil {
		writeError(w, external.KindInvalid, "body: "+err.Error())
		return false
	}
	return true
}

// adminMux serves the knobs and counters of a stand-in next to its protocol.
// Faults don't apply to /admin.
func adminMux(faults *FaultInjector, counts func() any, protocol http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/", echoID(faults.wrap(protocol)))
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, faults.Get())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if readSettings(w, r, &f) {
			faults.Set(f)
			writeJSON(w, f)
		}
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, counts())
	})
	return mux
}

// handleKnobs serves a stand-in's own settings under /admin/knobs. A POST
// changes only the fields that it names.
func handleKnobs[T any](mux *http.ServeMux, get func() T, set func(T)) {
	mux.HandleFunc("GET /admin/knobs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, get())
	})
	mux.HandleFunc("POST /admin/knobs", func(w http.ResponseWriter, r *http.Request) {
		knobs := get()
		if readSettings(w, r, &knobs) {
			set(knobs)
			writeJSON(w, knobs)
		}
	})
}

// echoID repeats a request's id in its answer, whatever that is.
func echoID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(external.HeaderRequestID); id != "" {
			w.Header().Set(external.HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// writeHalf sends half of an answer and closes the connection.
func writeHalf(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v) // the types of the protocol
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	hangUp()
}
