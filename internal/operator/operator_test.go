package operator

import (
	"bytes"
	"context"
	"errors"
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

// callTimeout is long enough for a busy machine.
const callTimeout = 10 * time.Second

var testToken = []byte("0123456789abcdef")

// router is one operators' API on a shared platform.
type router struct {
	url     string
	objects external.ObjectStore
}

// platformStandIn holds the stand-ins that routers share.
type platformStandIn struct {
	table      *standin.Table
	hosts      *standin.Hosts
	tableURL   string
	objectsURL string
	hostsURL   string
}

func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newPlatform(t testing.TB) *platformStandIn {
	t.Helper()
	p := &platformStandIn{table: standin.NewTable(), hosts: standin.NewHosts(standin.HostListConfig{})}
	p.tableURL, p.objectsURL, p.hostsURL = serve(t, p.table), serve(t, standin.NewObjects()), serve(t, p.hosts)
	p.hosts.Add(external.Host{ID: "e1", Role: external.RoleUpstream})
	return p
}

func (p *platformStandIn) newRouter(t testing.TB, wrap func(http.Handler) http.Handler) *router {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	at := func(url string) external.ClientOptions {
		return external.ClientOptions{BaseURL: url, HTTP: client, CallTimeout: callTimeout}
	}
	table, objects, hosts := external.NewTableClient(at(p.tableURL)), external.NewObjectClient(at(p.objectsURL)), external.NewHostListClient(at(p.hostsURL))
	deployment := native.NewDeployment(native.Options{Table: table, Objects: objects, Hosts: hosts})
	r := &router{objects: objects}
	r.url = serve(t, wrap(NewServer(ServerOptions{
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

func unwrapped(h http.Handler) http.Handler { return h }

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

// kindOf returns the kind of the API's error.
func kindOf(err error) ErrorKind {
	var failure *Error
	if !errors.As(err, &failure) {
		return ""
	}
	return failure.Kind
}

func TestTokenIsDemanded(t *testing.T) {
	is := is.New(t)
	r := newPlatform(t).newRouter(t, unwrapped)
	ctx := context.Background()
	client := newTestClient(t, r.url)
	_, err := client.Status(ctx)
	is.NoErr(err)
	for _, token := range []string{"", "wrong-wrong-wrong"} {
		client.options.Token = []byte(token)
		_, err = client.Status(ctx)
		is.Equal(kindOf(err), KindUnauthorized)
	}
	reply, err := client.options.HTTP.Get(r.url + "/healthz") // open to all
	is.NoErr(err)
	is.NoErr(reply.Body.Close())
	is.Equal(reply.StatusCode, http.StatusOK)
}

func TestTwoOperatorsRace(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	ctx := context.Background()
	base := uint64(0)
	first := newTestClient(t, p.newRouter(t, unwrapped).url)
	second := newTestClient(t, p.newRouter(t, unwrapped).url)
	_, err := first.Apply(ctx, ApplyRequest{Set: sampleJSON(t), Author: "batbayar", Message: "winter", ExpectRevision: &base})
	is.NoErr(err)
	_, err = second.Apply(ctx, ApplyRequest{Set: sampleJSON(t), Author: "saran", ExpectRevision: &base})
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, KindConflict)
	is.Equal(failure.Winner.Author, "batbayar")
	is.Equal(failure.Head.Revision, uint64(1))
}

// loseAnswers lets a handler run and then cuts the connection.
func loseAnswers(path string) func(http.Handler) http.Handler {
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
	cut := p.newRouter(t, loseAnswers("/v1/apply"))
	whole := p.newRouter(t, unwrapped)

	_, err := newTestClient(t, cut.url).Apply(ctx, ApplyRequest{Set: sampleJSON(t)})
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, KindUnavailable)
	is.True(failure.OutcomeUnknown)

	reply, err := newTestClient(t, cut.url, whole.url).Apply(ctx, ApplyRequest{Set: sampleJSON(t)})
	is.NoErr(err)
	is.Equal(reply.Revision.Revision, uint64(2)) // not 3
	history, err := newTestClient(t, whole.url).History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history.Revisions), 2)
}

func TestApplyRefusesFaults(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, newPlatform(t).newRouter(t, unwrapped).url)
	set := bytes.Replace(sampleJSON(t), []byte(`"version": "manifest-reader-v1"`), []byte(`"version": "none"`), 1)
	_, err := client.Apply(context.Background(), ApplyRequest{Set: set})
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, KindInvalid)
	is.Equal(failure.Problems[0].Object, "models/manifest-reader")
}

func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := newTestClient(t, p.newRouter(t, unwrapped).url)
	p.table.Faults.Set(standin.Faults{Down: true})
	ctx := context.Background()
	base := uint64(0)
	_, err := client.Apply(ctx, ApplyRequest{Set: sampleJSON(t), ExpectRevision: &base})
	is.Equal(kindOf(err), KindUnavailable)
	_, err = client.Status(ctx) // needs no platform
	is.NoErr(err)
	_, err = client.Drain(ctx, "e1", "saran", true)
	is.Equal(kindOf(err), KindUnavailable)
}

func TestDrainAndUndo(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := newTestClient(t, p.newRouter(t, unwrapped).url)
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
	is.Equal(kindOf(err), KindNotFound)
}

// Pattern: one of the listed routers has ended, another is behind.
func TestStatusAsksTheOtherRouters(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	other := p.newRouter(t, unwrapped)
	p.hosts.Add(external.Host{ID: "other", Role: external.RoleRouter, OperatorAddress: strings.TrimPrefix(other.url, "http://")})
	p.hosts.Add(external.Host{ID: "ended", Role: external.RoleRouter, OperatorAddress: "127.0.0.1:1"})
	status, err := newTestClient(t, p.newRouter(t, unwrapped).url).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.RouterCount(), 3)
	is.Equal(len(status.Unconfirmed(1)), 1) // the ended one
	is.Equal(len(status.Unconfirmed(2)), 3)
	is.True(status.Unconfirmed(1)[0].Problem != "")
}
