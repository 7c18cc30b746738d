package operator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callTimeout is long enough for a busy machine.
const callTimeout = 10 * time.Second

var testToken = []byte("0123456789abcdef")

// router is one operators' API on a shared platform.
type router struct {
	url     string
	view    *view.Store
	writer  *waitlog.Writer
	objects external.ObjectStore
}

// platformStandIn holds the stand-ins that routers share.
type platformStandIn struct {
	table      *standin.Table
	tableURL   string
	objectsURL string
}

func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newPlatform(t testing.TB) *platformStandIn {
	t.Helper()
	table := standin.NewTable()
	return &platformStandIn{table: table, tableURL: serve(t, table), objectsURL: serve(t, standin.NewObjects())}
}

func (p *platformStandIn) newRouter(t testing.TB, wrap func(http.Handler) http.Handler) *router {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	table := external.NewTableClient(external.ClientOptions{BaseURL: p.tableURL, HTTP: client, CallTimeout: callTimeout})
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: p.objectsURL, HTTP: client, CallTimeout: callTimeout})
	r := &router{view: view.NewStore(), objects: objects}
	r.writer = waitlog.NewWriter(waitlog.WriterOptions{Objects: objects, Sample: 1})
	r.url = serve(t, wrap(NewServer(ServerOptions{
		Publisher: config.NewPublisher(table, objects, config.PublisherOptions{}),
		Reader:    waitlog.NewReader(objects),
		Writer:    r.writer,
		View:      r.view,
		Table:     table,
		Token:     testToken,
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
	is.Equal(failure.Faults[0].Object, "models/manifest-reader")
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
	r := p.newRouter(t, unwrapped)
	client := newTestClient(t, r.url)
	r.view.SetHosts(external.HostListing{Revision: 1, Hosts: []external.Host{{ID: "e1", Role: external.RoleUpstream}}})
	ctx := context.Background()
	for _, draining := range []bool{true, true, false} {
		p.table.Faults.Set(standin.Faults{LoseAnswers: 1})
		reply, err := client.Drain(ctx, "e1", "saran", draining)
		is.NoErr(err)
		is.Equal(reply.Draining, draining)
		r.view.ApplyRows(external.Changes{Rows: []external.Row{p.table.Row(external.DrainKey("e1"))}})
		is.Equal(r.view.Load().Drains["e1"], draining)
	}
	_, err := client.Drain(ctx, "e2", "saran", true)
	is.Equal(kindOf(err), KindNotFound)
}

func TestExplainThroughAnyRouter(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	ctx := context.Background()
	took, other := p.newRouter(t, unwrapped), p.newRouter(t, unwrapped)
	id := requestid.NewGenerator("r1").New(time.Now()).String()
	took.writer.Record(&apiv1.WaitRecord{RequestId: id, Target: "m", Outcome: apiv1.Outcome_OUTCOME_NOT_RUN})

	reply, err := newTestClient(t, took.url).Explain(ctx, id) // from memory
	is.NoErr(err)
	is.Equal(reply.MainCause, waitlog.CauseRefused)
	_, err = newTestClient(t, other.url).Explain(ctx, id)
	is.Equal(kindOf(err), KindNotFound)
	is.NoErr(took.writer.Flush(ctx))
	reply, err = newTestClient(t, other.url).Explain(ctx, id) // from the store
	is.NoErr(err)
	is.Equal(len(reply.Lines), 3)
	_, err = newTestClient(t, other.url).Explain(ctx, "x")
	is.Equal(kindOf(err), KindBadRequest)
}

func TestStatusIsMergedOverServers(t *testing.T) {
	is := is.New(t)
	a := &StatusReply{Revision: Revision{Revision: 3}, Nodes: []NodeStatus{
		{Host: "e1", ConfigRevision: 3}, {Host: "e2", Problem: "no session"}, {Host: "e3", ConfigRevision: 2, Draining: true},
	}}
	b := &StatusReply{Revision: Revision{Revision: 4}, Nodes: []NodeStatus{
		{Host: "e1", Problem: "no session"}, {Host: "e2"}, {Host: "e3", ConfigRevision: 4}, {Host: "e4"},
	}}
	merged := mergeStatus(a, b)
	is.Equal(merged.Revision.Revision, uint64(4))
	is.Equal(merged.Nodes, []NodeStatus{
		{Host: "e1", ConfigRevision: 3}, {Host: "e2"}, {Host: "e3", ConfigRevision: 4, Draining: true}, {Host: "e4"},
	})
	is.Equal(len(merged.Unconfirmed(3)), 2)
}
