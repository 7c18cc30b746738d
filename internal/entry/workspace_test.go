package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const testKey = "a-secret"

// workspaces returns a set with one workspace, which holds some keys.
func workspaces(version int64, quota workspace.Quota, keys ...string) *workspace.Set {
	w := workspace.Workspace{Name: "port-office", Quota: quota}
	for _, key := range keys {
		w.Keys = append(w.Keys, workspace.DigestKey(key))
	}
	set, _ := workspace.NewSet(version, []workspace.Workspace{w})
	return set
}

// publish puts a configuration with workspaces in force, of their version.
func (router *testRouter) publish(set *workspace.Set) {
	old := router.process.directory.Load().Config
	config := fleet.NewConfig(set.Version, testRoutes, old.Services, old.Limits)
	config.Workspaces = set
	router.process.directory.SetConfig(config)
	router.process.onDirectoryChange()
}

// startGuarded starts a router whose callers need testKey.
func startGuarded(t testing.TB, upstreams ...*upstream) *testRouter {
	t.Helper()
	router := start(t, upstreams...)
	router.publish(workspaces(10, workspace.Quota{}, testKey))
	return router
}

// withdraw takes testKey away.
func (router *testRouter) withdraw() {
	router.publish(workspaces(11, workspace.Quota{}))
}

// sendWithKey sends a request with a key, and with headers that are not the caller's to set.
func (router *testRouter) sendWithKey(t testing.TB, path, model string, authorization ...string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, strings.NewReader("the body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r-1")
	req.Header.Set("Workspace", "another")
	if model != "" {
		req.Header.Set("Model", model)
	}
	req.Header["Authorization"] = authorization
	return exchangeOnce(req, callerTimeout)
}

// Guards against callers without a key that a workspace holds, and against keys and workspaces of
// the callers' own that reach an upstream.
func TestCallersNeedAKey(t *testing.T) {
	for name, c := range map[string]struct {
		path          string
		authorization []string
		status        int
		workspace     string
	}{
		"key":               {"/once/a", []string{"Bearer " + testKey}, http.StatusOK, "port-office"},
		"no key":            {"/once/a", nil, http.StatusUnauthorized, ""},
		"unknown key":       {"/once/a", []string{"Bearer other"}, http.StatusUnauthorized, ""},
		"two keys":          {"/once/a", []string{"Bearer " + testKey, "Bearer other"}, http.StatusUnauthorized, ""},
		"other scheme":      {"/once/a", []string{"Basic " + testKey}, http.StatusUnauthorized, ""},
		"public":            {"/public/a", nil, http.StatusOK, ""},
		"public, key":       {"/public/a", []string{"Bearer " + testKey}, http.StatusOK, "port-office"},
		"public, wrong key": {"/public/a", []string{"Bearer other"}, http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
			router := startGuarded(t, up)
			got := router.sendWithKey(t, c.path, "", c.authorization...)
			is.Equal(got.status, c.status)
			if c.status != http.StatusOK {
				is.Equal(up.runs(), 0)
				return
			}
			is.Equal(up.header(0).Values("Authorization"), nil)
			is.Equal(up.header(0).Get("Workspace"), c.workspace)
		})
	}
}

// A caller without a key must not make the router take up a body.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) {
	is := is.New(t)
	router := startGuarded(t, newUpstream(t, "plain-1", respond(http.StatusOK, "done")))
	c, err := net.Dial("tcp", strings.TrimPrefix(router.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, _ = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 900\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
}

// Guards against requests that are sent on with a key that was withdrawn since they arrived.
func TestWithdrawnKeyEndsWhatIsUnderWay(t *testing.T) {
	key := "Bearer " + testKey
	var router *testRouter
	withdrawAnd := func(script http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			router.withdraw()
			script(w, r)
		}
	}
	for _, c := range []struct {
		name, path, model string
		ids               [2]string
		first             http.HandlerFunc
		status            int
	}{
		{"retry of a refusal", "/once/a", "", [2]string{"plain-1", "plain-2"}, withdrawAnd(refuse), http.StatusUnauthorized},
		{"retry of a failure", "/again/a", "", [2]string{"plain-1", "plain-2"}, withdrawAnd(abortResponse("")), http.StatusBadGateway},
		{"retry at an engine", "/stream/a", "m", [2]string{"engine-1", "engine-2"}, withdrawAnd(refuse), http.StatusUnauthorized},
		{"resumed stream", "/resume/a", "m", [2]string{"engine-1", "engine-2"}, withdrawAnd(events(1, 3, false)), http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one, two := newUpstream(t, c.ids[0], c.first), newUpstream(t, c.ids[1], c.first)
			router = startGuarded(t, one, two)
			got := router.sendWithKey(t, c.path, c.model, key)
			is.Equal(got.status, c.status)
			is.True(got.status != http.StatusOK || got.err != nil) // a stream that ends early must not look complete
			is.Equal(one.runs()+two.runs(), 1)
			is.Equal(router.sendWithKey(t, c.path, c.model, key).status, http.StatusUnauthorized)
		})
	}
}

// A request that waits for an engine is refused when its key is withdrawn, not when its turn comes.
func TestWithdrawnKeyEndsAWait(t *testing.T) {
	is := is.New(t)
	router := startGuarded(t, newUpstream(t, "engine-1", blockUntilCancelled))
	key := "Bearer " + testKey
	statuses := make(chan int, 9)
	for range 9 {
		go func() { statuses <- router.sendWithKey(t, "/single/a", "m", key).status }()
	}
	waiting := func() int {
		router.process.handler.keyWaits.mu.Lock()
		defer router.process.handler.keyWaits.mu.Unlock()
		return len(router.process.handler.keyWaits.waits)
	}
	router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() == 9 && waiting() == 1 })
	router.withdraw()
	is.Equal(<-statuses, http.StatusUnauthorized)
	is.Equal(waiting(), 0)
}

// Guards against withdrawn keys that work on where the store turns a router away, and that come
// back with a router that starts and reads an older configuration from a store that was restored.
func TestWithdrawnKeysReachRoutersWithoutAStore(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	source := &fakeSource{upstreams: []*upstream{up}, draining: map[string]bool{}, workspaces: workspaces(3, workspace.Quota{}, testKey)}
	routers := startFleet(t, 3, source, fakeEngines{})
	knowAll := func(routers []*testRouter, version int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(routers, func(r *testRouter) bool { return r.process.directory.Load().Workspaces.Version != version })
		}
	}
	for _, router := range routers {
		is.Equal(router.sendWithKey(t, "/once/a", "", "Bearer "+testKey).status, http.StatusOK)
	}
	// Only the last router has read the next configuration; the scheduler is another one.
	last := routers[2].process
	last.onRelayedWorkspaces(workspaces(11, workspace.Quota{}, "new"))
	routers[0].waitUntil(t, knowAll(routers, 11))
	last.onRelayedWorkspaces(workspaces(10, workspace.Quota{}, testKey))
	started := startRouter(t, "entry-4", routers[0].table, source, fakeEngines{}, testDialect{})
	started.waitUntil(t, knowAll([]*testRouter{started}, 11))
	for _, router := range append(routers, started) {
		is.Equal(router.sendWithKey(t, "/once/a", "", "Bearer "+testKey).status, http.StatusUnauthorized)
		// A new key comes with the routes of its configuration.
		is.Equal(router.sendWithKey(t, "/once/a", "", "Bearer new").status, http.StatusUnauthorized)
		router.publish(workspaces(11, workspace.Quota{}, "new"))
		is.Equal(router.sendWithKey(t, "/once/a", "", "Bearer new").status, http.StatusOK)
	}
}

// Where revocation is strict, a router without news of the configuration serves no keys; it says
// so with a status that promises that the request has not run.
func TestStrictKeyAge(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	router := startGuarded(t, up)
	router.process.handler.settings.StrictKeyAge = time.Nanosecond
	is.Equal(router.sendWithKey(t, "/once/a", "", "Bearer "+testKey).status, http.StatusServiceUnavailable)
	is.Equal(router.sendWithKey(t, "/public/a", "").status, http.StatusOK)
	is.Equal(up.runs(), 1)
}

// sendTokens sends a request for a model that costs some tokens.
func (router *testRouter) sendTokens(t testing.TB, path, tokens string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, strings.NewReader("the body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r-1")
	req.Header.Set("Tokens", tokens)
	req.Header.Set("Authorization", "Bearer "+testKey)
	return exchangeOnce(req, callerTimeout)
}

// startWithQuota starts a router whose workspace may spend 1000 tokens at once and 10 a second.
func startWithQuota(t testing.TB, upstreams ...*upstream) *testRouter {
	t.Helper()
	router := start(t, upstreams...)
	quota := workspace.Quota{PerSecond: 100_000, Burst: 1000, CountsTokens: true, PlainCost: 100}
	router.publish(workspaces(10, quota, testKey))
	time.Sleep(300 * time.Millisecond) // a dealer's buckets are empty at first
	quota.PerSecond = 10
	router.publish(workspaces(11, quota, testKey))
	return router
}

// A quota is kept: what it has no room for is refused at once, with the time at which it will have.
// Requests that don't tell their tokens cost what the workspace says.
func TestQuotaIsKept(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	router := startWithQuota(t, up)
	is.Equal(router.sendTokens(t, "/once/a", "800").status, http.StatusOK)
	is.Equal(router.sendTokens(t, "/once/a", "many").status, http.StatusOK) // costs 100
	refused := router.sendTokens(t, "/once/a", "150")
	is.Equal(refused.status, http.StatusTooManyRequests)
	router.waitUntil(t, func() bool {
		resp, err := http.Get(router.metrics)
		is.NoErr(err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return strings.Contains(string(text), `quota_per_second{workspace="port-office"} 10`) && strings.Contains(string(text), `workspace_requests_total{workspace="port-office",outcome="over_quota"} 1`)
	})
	is.True(refused.header.Get("Retry-After") > "0.5" && refused.header.Get("Retry-After") != "0.000")
	is.Equal(up.runs(), 2)
	is.Equal(router.sendTokens(t, "/public/a", "50").status, http.StatusOK) // the caller's key counts there too
	is.Equal(up.runs(), 3)
	router.publish(workspaces(12, workspace.Quota{}, testKey))
	is.Equal(router.sendTokens(t, "/once/a", "5000").status, http.StatusOK)
}

// A request that has not run costs nothing, and one that is retried costs its tokens once.
func TestQuotaCountsWhatRuns(t *testing.T) {
	for name, c := range map[string]struct {
		scripts []http.HandlerFunc
		status  int
		// next is what the second request costs, nextStatus how it is answered.
		next       string
		nextStatus int
	}{
		"refused by all": {[]http.HandlerFunc{refuse, refuse, respond(http.StatusOK, "done")}, http.StatusServiceUnavailable, "900", http.StatusOK},
		"retried":        {[]http.HandlerFunc{refuse, respond(http.StatusOK, "done")}, http.StatusOK, "90", http.StatusOK},
		"ran":            {[]http.HandlerFunc{respond(http.StatusOK, "done")}, http.StatusOK, "900", http.StatusTooManyRequests},
		"may have run":   {[]http.HandlerFunc{abortResponse(""), respond(http.StatusOK, "done")}, http.StatusBadGateway, "900", http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var served atomic.Int32
			script := func(w http.ResponseWriter, r *http.Request) {
				c.scripts[min(int(served.Add(1)), len(c.scripts))-1](w, r)
			}
			router := startWithQuota(t, newUpstream(t, "plain-1", script), newUpstream(t, "plain-2", script))
			is.Equal(router.sendTokens(t, "/once/a", "900").status, c.status)
			time.Sleep(150 * time.Millisecond) // upstreams that refused are avoided for a moment
			is.Equal(router.sendTokens(t, "/once/a", c.next).status, c.nextStatus)
		})
	}
}

// Guards against one quota for each router: what the first one spent is missing at the others.
func TestQuotaIsThatOfTheFleet(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	routers := startFleet(t, 3, &fakeSource{upstreams: []*upstream{up}, draining: map[string]bool{}}, fakeEngines{})
	quota := workspace.Quota{PerSecond: 100, Burst: 1000, CountsTokens: true}
	for _, router := range routers {
		router.publish(workspaces(10, quota, testKey))
	}
	served := 0
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		for _, router := range routers {
			if router.sendTokens(t, "/once/a", "90").status == http.StatusOK {
				served += 90
			}
		}
	}
	allowed := quota.PerSecond*time.Since(began).Seconds() + quota.Burst
	is.True(float64(served) <= allowed) // beyond the quota
	is.True(served >= 180)              // less than two seconds of it
}
