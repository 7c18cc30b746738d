package native

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const maxBodyBytes = 1000

// testDeployment is a Deployment that uses stand-ins.
type testDeployment struct {
	*Deployment
	cluster *standin.Cluster
	table   external.TableService
	objects external.ObjectStore
}

func newTestDeployment(t *testing.T) *testDeployment {
	t.Helper()
	cluster, err := standin.Start(t.Context(), standin.ClusterOptions{Engines: []standin.EngineOptions{{Host: "lm-pool-01", MemoryMiB: sample.EngineMemoryMiB}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	d := &testDeployment{cluster: cluster}
	d.table = external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
	d.objects = external.NewObjectClient(external.ClientOptions{BaseURL: cluster.ObjectURL})
	d.Deployment = NewDeployment(Options{
		Table:        d.table,
		Objects:      d.objects,
		Hosts:        external.NewHostListClient(external.ClientOptions{BaseURL: cluster.HostListURL}),
		Pool:         exchange.NewPool(exchange.Options{IDHeader: external.HeaderRequestID}),
		PollInterval: time.Millisecond,
		MaxBodyBytes: maxBodyBytes,
	})
	return d
}

func (d *testDeployment) publish(t *testing.T, set *apiv1.ObjectSet) {
	t.Helper()
	if _, err := config.NewPublisher(d.table, d.objects, config.PublisherOptions{}).Publish(t.Context(), set, config.PublishOptions{}); err != nil {
		t.Fatal(err)
	}
}

func TestConfigFollowsRevisions(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t)
	update, err := d.Config(t.Context(), 0, 5*time.Millisecond)
	is.NoErr(err)
	is.Equal(update, fleet.ConfigUpdate{}) // nothing published
	set := sample.OffcutGiveaway().Set()
	d.publish(t, set)
	update, err = d.Config(t.Context(), 0, time.Second)
	is.NoErr(err)
	is.Equal(update.Version, int64(1))
	spec := update.Config.Services["pool lm-pool"].Engine
	model := spec.Models["manifest-reader-v1"]
	is.Equal(model.MemoryMB, int64(6<<10))
	is.Equal(model.MaxReplicas, 1)
	is.Equal(model.AdapterMB, int64(128))
	is.Equal(model.KeepAlive, 20*time.Second) // 1 min / 3: the idle weight is three times the cold start weight
	is.Equal(spec.ParallelRemoteLoads, 4)
	is.Equal(spec.ParallelAdapterLoads, 30)
	is.Equal(update.Config.Match("any.host:80", poolPath("lm-pool")).Targets[0].Service, "pool lm-pool")
	is.Equal(update.Config.Match("", servicePath("giveaway-app")).Repeat, fleet.AtMostOnce)

	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	_, err = d.Config(t.Context(), 1, time.Millisecond)
	is.True(err != nil)
	d.cluster.Table.Faults.Set(standin.Faults{})
	set.Models[0].MaxQueue = 9
	d.publish(t, set)
	update, err = d.Config(t.Context(), 1, time.Second)
	is.NoErr(err)
	is.Equal(update.Config.Version, int64(2))
	is.Equal(d.Index().Model("manifest-reader").GetMaxQueue(), uint32(9))
}

func TestUpstreamsFollowTheHostListAndDrains(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t)
	d.cluster.Hosts.Add(external.Host{ID: "lm-pool-01", Role: external.RoleUpstream, Pool: "lm-pool", Address: "127.0.0.1:1", MemoryMiB: 7})
	d.cluster.Hosts.Add(external.Host{ID: "app-01", Role: external.RoleUpstream, Pool: "apps", Service: "giveaway-app", Address: "127.0.0.1:2"})
	d.cluster.Hosts.Add(external.Host{ID: "router-1", Role: external.RoleRouter})
	d.cluster.Hosts.Drain("app-01")
	d.setDrain(t, "lm-pool-01", true)
	update, err := d.Upstreams(t.Context(), 0, 0)
	is.NoErr(err)
	is.True(update.Complete)
	is.Equal(len(update.Registrations), 2)
	engine, app := update.Registrations[0].Upstream, update.Registrations[1].Upstream
	is.Equal(engine.Service, "pool lm-pool")
	is.Equal(engine.MemoryMB, int64(7))
	is.True(engine.StartedMs > 0)
	is.True(engine.Cordoned)
	is.True(!engine.Draining) // a drain by an operator can be undone
	is.Equal(app.Service, "service giveaway-app")
	is.True(app.Draining)
	d.setDrain(t, "lm-pool-01", false)
	update, err = d.Upstreams(t.Context(), 0, 0)
	is.NoErr(err)
	is.True(update.Registrations[0].Upstream.TakesWork())
}

// Guards against one odd entry that keeps the routers from following the list: the others
// hold.
func TestOddHostsAndDrainsDoNotSpoilTheList(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t)
	d.cluster.Hosts.Add(external.Host{ID: "odd", Role: external.RoleUpstream, Pool: "apps", Service: "giveaway-app", Address: "127.0.0.1:0"})
	d.cluster.Hosts.Add(external.Host{ID: "app-01", Role: external.RoleUpstream, Pool: "apps", Service: "giveaway-app", Address: "127.0.0.1:2"})
	d.cluster.Hosts.Add(external.Host{ID: "app-02", Role: external.RoleUpstream, Pool: "apps", Service: "giveaway-app", Address: "127.0.0.1:3"})
	d.setDrainRow(t, "app-02", []byte("\xff\xff"))
	update, err := d.Upstreams(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(len(update.Registrations), 3)
	is.True(update.Registrations[0].Err != nil)
	is.True(update.Registrations[1].Upstream.TakesWork())
	is.True(update.Registrations[2].Upstream.Cordoned) // somebody meant to drain it
}

func (d *testDeployment) setDrain(t *testing.T, host string, draining bool) {
	t.Helper()
	value, err := proto.Marshal(&apiv1.DrainRow{Host: host, Draining: draining})
	if err != nil {
		t.Fatal(err)
	}
	d.setDrainRow(t, host, value)
}

func (d *testDeployment) setDrainRow(t *testing.T, host string, value []byte) {
	t.Helper()
	if _, err := d.table.Commit(context.Background(), external.Txn{ID: host + time.Now().String(), Puts: []external.Put{{Key: external.DrainKey(host), Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func TestOrdersAndInventory(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t)
	d.publish(t, sample.OffcutGiveaway().Set())
	_, err := d.Config(t.Context(), 0, time.Second)
	is.NoErr(err)
	up := &fleet.Upstream{ID: "lm-pool-01", Addr: strings.TrimPrefix(d.cluster.EngineURLs[0], "http://")}
	count := func(n int64) *int64 { return &n }
	order := fleet.Order{Model: "manifest-reader-v1", ExpectedOrders: count(0), Holder: "r", Fence: 1}
	send := func(order fleet.Order, up *fleet.Upstream) fleet.OrderResult {
		result, err := d.Order(t.Context(), up, order)
		is.NoErr(err)
		return result
	}
	is.Equal(send(order, up), fleet.OrderAccepted)
	is.Equal(send(fleet.Order{Model: "pickup-summary-v1", ExpectedOrders: count(0)}, up), fleet.OrderConflict)
	is.Equal(send(fleet.Order{Model: "unpublished"}, up), fleet.OrderInvalid)
	is.Equal(send(order, &fleet.Upstream{ID: "other", Addr: up.Addr}), fleet.OrderWrongUpstream)
	var inventory fleet.Inventory
	for inventory.Orders == 0 || inventory.Busy {
		inventory, err = d.Inspect(t.Context(), up)
		is.NoErr(err)
	}
	is.Equal(inventory.Models[0].Name, "manifest-reader-v1")
	is.Equal(inventory.InMemory, []string{"manifest-reader-v1"})
	is.Equal(send(order, up), fleet.OrderSatisfied)
	_, err = d.Inspect(t.Context(), &fleet.Upstream{ID: "gone", Addr: "127.0.0.1:1"})
	is.True(err != nil)
}

func TestReadCall(t *testing.T) {
	d := newTestDeployment(t)
	d.publish(t, sample.OffcutGiveaway().Set())
	if _, err := d.Config(t.Context(), 0, time.Second); err != nil {
		t.Fatal(err)
	}
	dialect := Dialect{Host: "r1", Deployment: d.Deployment, MaxBodyBytes: maxBodyBytes}
	for _, tc := range []struct {
		name, method, target, body string
		header                     http.Header
		check                      func(is *is.I, call entry.Call)
	}{
		{"stream with an adapter", "POST", "/v1/chat/completions", `{"model": "manifest-reader:adapter-000", "stream": true, "max_tokens": 7, "messages": [{"role": "user", "content": "12345678"}]}`, nil, func(is *is.I, call entry.Call) {
			is.Equal(call.Path, "/pools/lm-pool/")
			is.Equal(call.Model, "manifest-reader-v1")
			is.Equal(call.Adapter, "adapter-000")
			is.True(!call.NonStreaming)
			is.Equal(call.MaxOutputTokens, int64(7))
			is.Equal(call.PromptTokens, int64(3)) // counted with the quotes
			is.Equal(call.Timeout, time.Minute)   // default of the class
			is.Equal(*call.Rank, entry.Rank{Priority: 980, Ageing: 2 * time.Second})
		}},
		{"non-streaming, with a class and a deadline", "POST", "/v1/chat/completions", `{"model": "manifest-reader"}`, http.Header{"Ragwortdoor-Priority": {"urgent"}, "Ragwortdoor-Deadline-Ms": {"1500"}}, func(is *is.I, call entry.Call) {
			is.True(call.NonStreaming)
			is.Equal(call.Rank.Priority, 970)
			is.Equal(call.Timeout, 1500*time.Millisecond)
		}},
		{"repeatable call", "GET", "/services/giveaway-app/lists/3?x=1", "", nil, func(is *is.I, call entry.Call) {
			is.Equal(call.Target, "/lists/3?x=1")
			is.True(call.Repeatable)
			is.Equal(call.Timeout, 10*time.Second)
		}},
		{"call that may not be repeated", "POST", "/services/giveaway-app/lists", "{}", nil, func(is *is.I, call entry.Call) { is.True(!call.Repeatable) }},
		{"unknown adapter", "POST", "/v1/chat/completions", `{"model": "manifest-reader:none"}`, nil, func(is *is.I, call entry.Call) { is.Equal(call.Problem.Kind, "unknown_model") }},
		{"no JSON", "POST", "/v1/chat/completions", `{`, nil, func(is *is.I, call entry.Call) { is.Equal(call.Problem.Status, 400) }},
		{"too large: left to the core", "POST", "/v1/chat/completions", strings.Repeat("x", maxBodyBytes+1), nil, func(is *is.I, call entry.Call) { is.Equal(call.Problem, nil) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(tc.method, tc.target, strings.NewReader(tc.body))
			for name, values := range tc.header {
				r.Header[name] = values
			}
			call := dialect.ReadCall(r)
			tc.check(is, call)
			is.True(strings.HasPrefix(call.ID, "r1-"))
			left, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(string(left), tc.body) // the core can read the complete body
		})
	}
}

func TestPrepareAndErrorResponse(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Last-Event-Id": {"3"}, "Ragwortdoor-Priority": {"urgent"}}
	Dialect{}.Prepare(h, entry.Attempt{UpstreamID: "e1", Model: "m-v1", Adapter: "a", TimeLeft: 1500 * time.Millisecond, Priority: 20})
	is.Equal(h, http.Header{
		external.HeaderUpstream: {"e1"}, external.HeaderModel: {"m-v1:a"}, external.HeaderDeadline: {"1500"}, external.HeaderRank: {"20"},
	})
	h = http.Header{}
	body := Dialect{}.WriteErrorResponse(h, entry.ErrorResponse{Status: 503, Kind: "refused", Text: "no room", RetryAfter: 1200 * time.Millisecond, ID: "r1-x"})
	is.Equal(h.Get("Retry-After"), "2") // rounded up to full seconds, so that no retry comes too early
	is.Equal(h.Get(external.HeaderOutcome), external.OutcomeNotRun)
	is.Equal(string(body), `{"error":{"kind":"refused","message":"no room","request_id":"r1-x","outcome":"not-run","retry_after_ms":1200}}`+"\n")
	Dialect{}.WriteErrorResponse(h, entry.ErrorResponse{Status: 502, MayHaveRun: true})
	is.Equal(h.Get(external.HeaderOutcome), external.OutcomeMayHaveRun)
}

func TestReadResponse(t *testing.T) {
	is := is.New(t)
	read := func(status int, name, value string) entry.ResponseInfo {
		return Dialect{}.ReadResponse(status, http.Header{name: {value}})
	}
	is.Equal(read(503, external.HeaderOutcome, external.OutcomeNotRun), entry.ResponseInfo{Signed: true, NotRun: true})
	is.Equal(read(421, "", ""), entry.ResponseInfo{Signed: true, WrongUpstream: true})
	is.Equal(read(200, external.HeaderDraining, external.DrainingNow), entry.ResponseInfo{Signed: true, Leaving: true})
	is.Equal(read(503, external.HeaderPause, "250"), entry.ResponseInfo{Signed: true, Pause: 250 * time.Millisecond})
	is.Equal(read(200, external.HeaderPause, "250"), entry.ResponseInfo{Signed: true}) // only with a refusal
	is.Equal(read(200, external.HeaderLimit, "2.5"), entry.ResponseInfo{Signed: true, Limit: pace.Notice{Kind: pace.Limited, PerSecond: 2.5}})
	for _, malformed := range []string{"soon", "-1", "1.5", ""} {
		is.Equal(read(503, external.HeaderPause, malformed), entry.ResponseInfo{Signed: true})
	}
}
