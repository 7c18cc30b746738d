package entry

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkRequest sends requests through a router and directly to the upstream, all in
// this process: the difference is the cost of the router.
func BenchmarkRequest(b *testing.B) {
	for _, bench := range []struct {
		name, path, model string
		upstream          string
		script            http.HandlerFunc
	}{
		{"plain", "/again/a", "", "plain-1", respond(200, "ok")},
		{"stream of 8 events", "/resume/a", "m", "engine-1", events(1, 8, true)},
	} {
		u := newUpstream(b, bench.upstream, bench.script)
		router := start(b, u)
		for via, url := range map[string]string{"direct": "http://" + u.addr, "router": router.url} {
			b.Run(bench.name+"/"+via, func(b *testing.B) {
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					req, err := http.NewRequest(http.MethodPost, url+bench.path, nil)
					if err != nil {
						b.Fatal(err)
					}
					req.Host = "h"
					req.Header.Set("Id", "r-"+strconv.Itoa(n))
					req.Header.Set("Model", bench.model)
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
	}
}
