package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/native"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callTimeout also suffices on a heavily loaded host.
const callTimeout = 10 * time.Second

var testToken = []byte("0123456789abcdef")

// testRouter serves the operator API on a shared platform.
type testRouter struct {
	url     string
	objects external.ObjectStore
}

// platformStandIn holds the platform stand-ins that test routers share.
type platformStandIn struct {
	table      *standin.Table
	hosts      *standin.Hosts
	tableURL   string
	objectsURL string
	hostsURL   string
}

func startServer(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newPlatform(t testing.TB) *platformStandIn {
	t.Helper()
	p := &platformStandIn{table: standin.NewTable(), hosts: standin.NewHosts(standin.HostListConfig{})}
	p.tableURL, p.objectsURL, p.hostsURL = startServer(t, p.table), startServer(t, standin.NewObjects()), startServer(t, p.hosts)
	p.hosts.Add(external.Host{ID: "e1", Role: external.RoleUpstream})
	return p
}

func (p *platformStandIn) newRouter(t testing.TB, middleware func(http.Handler) http.Handler) *testRouter {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	clientOptions := func(url string) external.ClientOptions {
		return external.ClientOptions{BaseURL: url, HTTP: client, CallTimeout: callTimeout}
	}
	table, objects, hosts := external.NewTableClient(clientOptions(p.tableURL)), external.NewObjectClient(clientOptions(p.objectsURL)), external.NewHostListClient(clientOptions(p.hostsURL))
	deployment := native.NewDeployment(native.Options{Table: table, Objects: objects, Hosts: hosts})
	r := &testRouter{objects: objects}
	r.url = startServer(t, middleware(NewServer(ServerOptions{
		Publisher:  config.NewPublisher(table, objects, config.PublisherOptions{}),
		Table:      table,
		Hosts:      hosts,
		Drained:    deployment.Drained,
		Self:       func() NodeStatus { return NodeStatus{Host: "self", Role: "router", ConfigRevision: 1} },
		PeerHTTP:   client,
		PeerScheme: "http",
		Token:      testToken,
	})))
	return r
}

func noMiddleware(h http.Handler) http.Handler { return h }

func newTestClient(t testing.TB, urls ...string) *Client {
	t.Helper()
	httpClient := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(httpClient.CloseIdleConnections)
	return NewClient(ClientOptions{Servers: urls, Token: testToken, HTTP: httpClient})
}

func sampleJSON(t *testing.T) []byte {
	t.Helper()
	data, err := config.FormatSet(sample.OffcutGiveaway().Set())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// errorKind returns the kind of an *Error, or "" for other errors.
func errorKind(err error) ErrorKind {
	var apiErr *Error
	if !errors.As(err, &apiErr) {
		return ""
	}
	return apiErr.Kind
}

func TestTokenRequired(t *testing.T) {
	is := is.New(t)
	r := newPlatform(t).newRouter(t, noMiddleware)
	ctx := context.Background()
	client := newTestClient(t, r.url)
	_, err := client.Status(ctx)
	is.NoErr(err)
	for _, token := range []string{"", "wrong-wrong-wrong"} {
		client.options.Token = []byte(token)
		_, err = client.Status(ctx)
		is.Equal(errorKind(err), KindUnauthorized)
	}
	reply, err := client.options.HTTP.Get(r.url + "/healthz") // needs no token
	is.NoErr(err)
	is.NoErr(reply.Body.Close())
	is.Equal(reply.StatusCode, http.StatusOK)
}

func TestSecondApplyConflicts(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	ctx := context.Background()
	base := uint64(0)
	first := newTestClient(t, p.newRouter(t, noMiddleware).url)
	second := newTestClient(t, p.newRouter(t, noMiddleware).url)
	_, err := first.Apply(ctx, ApplyRequest{Set: sampleJSON(t), Author: "batbayar", Message: "winter", ExpectRevision: &base})
	is.NoErr(err)
	_, err = second.Apply(ctx, ApplyRequest{Set: sampleJSON(t), Author: "saran", ExpectRevision: &base})
	var apiErr *Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Kind, KindConflict)
	is.Equal(apiErr.Winner.Author, "batbayar")
	is.Equal(apiErr.Head.Revision, uint64(1))
}

// dropResponses returns middleware that runs the handler for requests to path, but
// closes the connection instead of sending the response.
func dropResponses(path string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != path {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
}

func TestApplyIsPublishedOnceThroughTwoRouters(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	ctx := context.Background()
	lossy := p.newRouter(t, dropResponses("/v1/apply"))
	reliable := p.newRouter(t, noMiddleware)

	_, err := newTestClient(t, lossy.url).Apply(ctx, ApplyRequest{Set: sampleJSON(t)})
	var apiErr *Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Kind, KindUnavailable)
	is.True(apiErr.OutcomeUnknown)

	reply, err := newTestClient(t, lossy.url, reliable.url).Apply(ctx, ApplyRequest{Set: sampleJSON(t)})
	is.NoErr(err)
	is.Equal(reply.Revision.Revision, uint64(2)) // not 3
	history, err := newTestClient(t, reliable.url).History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history.Revisions), 2)
}

func TestApplyRejectsInvalidSet(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, newPlatform(t).newRouter(t, noMiddleware).url)
	set := bytes.Replace(sampleJSON(t), []byte(`"version": "manifest-reader-v1"`), []byte(`"version": "none"`), 1)
	_, err := client.Apply(context.Background(), ApplyRequest{Set: set})
	var apiErr *Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Kind, KindInvalid)
	is.Equal(apiErr.Problems[0].Object, "models/manifest-reader")
}

func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := newTestClient(t, p.newRouter(t, noMiddleware).url)
	p.table.Faults.Set(standin.Faults{Down: true})
	ctx := context.Background()
	base := uint64(0)
	_, err := client.Apply(ctx, ApplyRequest{Set: sampleJSON(t), ExpectRevision: &base})
	is.Equal(errorKind(err), KindUnavailable)
	_, err = client.Status(ctx) // works without the table service
	is.NoErr(err)
	_, err = client.Drain(ctx, "e1", "saran", true)
	is.Equal(errorKind(err), KindUnavailable)
}

func TestDrainAndUndo(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := newTestClient(t, p.newRouter(t, noMiddleware).url)
	ctx := context.Background()
	for _, draining := range []bool{true, true, false} {
		p.table.Faults.Set(standin.Faults{LoseResponses: 1})
		reply, err := client.Drain(ctx, "e1", "saran", draining)
		is.NoErr(err)
		is.Equal(reply.Draining, draining)
		status, err := client.Status(ctx)
		is.NoErr(err)
		is.Equal(status.Nodes[1].Host, "e1")
		is.Equal(status.Nodes[1].Draining, draining)
	}
	_, err := client.Drain(ctx, "e2", "saran", true)
	is.Equal(errorKind(err), KindNotFound)
}

// The host list still names a router that has stopped, and the others have not yet
// loaded revision 2. The status must report both as unconfirmed.
func TestStatusQueriesPeerRouters(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	other := p.newRouter(t, noMiddleware)
	p.hosts.Add(external.Host{ID: "other", Role: external.RoleRouter, OperatorAddress: strings.TrimPrefix(other.url, "http://")})
	p.hosts.Add(external.Host{ID: "stopped", Role: external.RoleRouter, OperatorAddress: "127.0.0.1:1"})
	status, err := newTestClient(t, p.newRouter(t, noMiddleware).url).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.RouterCount(), 3)
	is.Equal(len(status.Unconfirmed(1)), 1) // the stopped one
	is.Equal(len(status.Unconfirmed(2)), 3)
	is.True(status.Unconfirmed(1)[0].Problem != "")
}

// Queries to routers that refuse at once end while those of the other routers are
// still being started.
func TestStatusOfManyStoppedRouters(t *testing.T) {
	const routers = 200
	is := is.New(t)
	p := newPlatform(t)
	for i := range routers {
		p.hosts.Add(external.Host{ID: fmt.Sprintf("stopped-%03d", i), Role: external.RoleRouter, OperatorAddress: "127.0.0.1:1"})
	}
	status, err := newTestClient(t, p.newRouter(t, noMiddleware).url).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.RouterCount(), routers+1)
	is.Equal(len(status.Unconfirmed(1)), routers)
	for _, node := range status.Unconfirmed(1) {
		is.True(node.Problem != "")
	}
}
