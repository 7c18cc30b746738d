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
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

func writeError(w http.ResponseWriter, kind external.Kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(external.StatusOf(kind))
	_ = json.NewEncoder(w).Encode(external.ErrorBody{Kind: kind.String(), Message: message}) // as in writeJSON
}

// refuse responds that a request did not run.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(external.HeaderOutcome, external.OutcomeNotRun)
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, message) // as in writeJSON
}

// readJSON decodes a call's body. If that fails, it writes the error response and
// reports false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	return decode(w, json.NewDecoder(r.Body), into)
}

// readStrictJSON is readJSON with unknown fields as errors, for calls of /admin.
func readStrictJSON(w http.ResponseWriter, r *http.Request, into any) bool {
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

// adminMux serves a stand-in's protocol with faults, and under /admin its faults
// and counters. Faults do not affect /admin.
func adminMux(faults *FaultInjector, counts func() any, protocol http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/", echoID(faults.wrap(protocol)))
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, faults.Get())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if readStrictJSON(w, r, &f) {
			faults.Set(f)
			writeJSON(w, f)
		}
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, counts())
	})
	return mux
}

// handleConfig serves a stand-in's configuration under /admin/knobs. A POST
// changes only the fields in its body.
func handleConfig[T any](mux *http.ServeMux, get func() T, set func(T)) {
	mux.HandleFunc("GET /admin/knobs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, get())
	})
	mux.HandleFunc("POST /admin/knobs", func(w http.ResponseWriter, r *http.Request) {
		cfg := get()
		if readStrictJSON(w, r, &cfg) {
			set(cfg)
			writeJSON(w, cfg)
		}
	})
}

// echoID copies a request's id to the response, whatever its status.
func echoID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(external.HeaderRequestID); id != "" {
			w.Header().Set(external.HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// writeTruncated sends half of a JSON body and closes the connection.
func writeTruncated(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v) // the protocol's types always encode
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	abortConnection()
}

// nameLimit sets the header with the requests a second that an upstream takes, 0 for no limit.
func nameLimit(w http.ResponseWriter, perSecond float64) {
	if perSecond > 0 {
		w.Header().Set(external.HeaderLimit, strconv.FormatFloat(perSecond, 'g', -1, 64))
	}
}
