package daemon

import (
	"expvar"
	"fmt"
	"net/http"
)

// vars are the expvar metrics of one process role. They are not published
// globally, as dev mode runs several roles in one process.
type vars struct {
	all expvar.Map
}

// publish adds the value that read returns as JSON under a name.
func (v *vars) publish(name string, read func() any) {
	v.all.Set(name, expvar.Func(read))
}

// ServeHTTP writes all metrics, with those that the Go runtime publishes.
func (v *vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%q: %s", "memstats", expvar.Get("memstats"))
	v.all.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	_, _ = fmt.Fprint(w, "\n}\n")
}
