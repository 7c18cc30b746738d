package router_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}

// fakeSidecar answers streams with the functions that a test sets.
type fakeSidecar struct {
	host     string
	server   *transport.Server
	generate func(s *transport.Stream, req *apiv1.GenerateRequest)
	call     func(s *transport.Stream, req *apiv1.CallRequest, body []byte)

	generations atomic.Int64
	// runs counts the calls that reached the service.
	runs atomic.Int64
}

func newFakeSidecar(t testing.TB, host string) *fakeSidecar {
	t.Helper()
	f := &fakeSidecar{host: host}
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, f.handle)
	if err != nil {
		t.Fatal(err)
	}
	f.server = server
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-stopped
	})
	return f
}

func (f *fakeSidecar) handle(_ context.Context, s *transport.Stream) {
	defer func() { _ = s.Close() }()
	frame := &apiv1.RouterFrame{}
	if s.Recv(frame) != nil {
		return
	}
	switch {
	case frame.GetGenerate() != nil:
		f.generations.Add(1)
		f.generate(s, frame.GetGenerate())
	case frame.GetCall() != nil:
		body, err := receiveBody(s)
		if err == nil {
			f.call(s, frame.GetCall(), body)
		}
	}
}

func receiveBody(s *transport.Stream) ([]byte, error) {
	var body []byte
	for {
		frame := &apiv1.RouterFrame{}
		if err := s.Recv(frame); err != nil {
			return nil, err
		}
		body = append(body, frame.GetChunk().GetData()...)
		if frame.GetChunk().GetLast() {
			return body, nil
		}
	}
}

func sendTokens(s *transport.Stream, id string, offset int, text ...string) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Tokens{Tokens: &apiv1.Tokens{RequestId: id, Offset: uint32(offset), Text: text}}})
}

func sendEnd(s *transport.Stream, id string, total int) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_End{End: &apiv1.StreamEnd{RequestId: id, TotalTokens: uint32(total), FinishReason: "stop"}}})
}

func refuse(s *transport.Stream, refusal *apiv1.Refusal) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Refusal{Refusal: refusal}})
}

func respond(s *transport.Stream, id string, status int, headers ...*apiv1.Header) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Call{Call: &apiv1.CallResponse{RequestId: id, Status: uint32(status), Headers: headers}}})
}

func sendChunk(s *transport.Stream, data string, last bool) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Chunk{Chunk: &apiv1.BodyChunk{Data: []byte(data), Last: last}}})
}

// words is the whole answer of the fake engines.
var words = []string{"three ", "pallets ", "at ", "the ", "depot"}

func serveWords(s *transport.Stream, req *apiv1.GenerateRequest) {
	for i := int(req.GetOffset()); i < len(words); i++ {
		sendTokens(s, req.GetRequestId(), i, words[i])
	}
	sendEnd(s, req.GetRequestId(), len(words))
}

// fixture is a router with its callers' server, over fake sidecars.
type fixture struct {
	view      *view.Store
	router    *router.Router
	url       string
	client    *http.Client
	records   *recorder
	refreshed chan string
	stop      func() // ends the router; called at the end of the test if not before
}

type recorder struct {
	mu  sync.Mutex
	all []*apiv1.WaitRecord
}

func (r *recorder) Record(record *apiv1.WaitRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, record)
}

func (r *recorder) last() *apiv1.WaitRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[len(r.all)-1]
}

func testSet() *apiv1.ObjectSet {
	return &apiv1.ObjectSet{
		Models: []*apiv1.Model{{Name: "manifest", Version: "v1", Placement: "p", PriorityClass: "routine", MaxQueue: 4}},
		Adapters: []*apiv1.Adapter{
			{Name: "depot", Model: "manifest", Checkpoint: "a1", MemoryMib: 64},
		},
		Placements: []*apiv1.Placement{{Name: "p", Pool: "lm-pool", TargetInFlight: 1}},
		PriorityClasses: []*apiv1.PriorityClass{
			{Name: "routine", Priority: 1, DefaultDeadlineMs: 5000, AgeingMs: 1000},
			{Name: "urgent", Priority: 9, DefaultDeadlineMs: 5000},
		},
		Services: []*apiv1.Service{{
			Name: "bookings", Pool: "app", DefaultDeadlineMs: 5000,
			Repeatable: []*apiv1.RepeatableCall{{Method: http.MethodGet, PathPrefix: "/list"}},
		}},
	}
}

// newFixture makes a router that knows the sidecars as replicas of "manifest"
// and as hosts of "bookings". table may be nil.
func newFixture(t testing.TB, table external.TableService, sidecars ...*fakeSidecar) *fixture {
	t.Helper()
	f := &fixture{view: view.NewStore(), records: &recorder{}, refreshed: make(chan string, 64)}
	f.view.SetConfig(config.NewIndex(1, testSet()))
	listing := external.HostListing{Revision: 1}
	changes := external.Changes{Revision: 10}
	for i, s := range sidecars {
		listing.Hosts = append(listing.Hosts, external.Host{
			ID: s.host, Role: external.RoleUpstream, Address: s.server.Addr(), Pool: "app", Service: "bookings", State: external.HostLive,
		})
		changes.Rows = append(changes.Rows, slotRow(t, s.host, i, int64(i+1)))
	}
	f.view.SetHosts(listing)
	f.view.ApplyRows(changes)
	f.start(t, table)
	return f
}

func slotRow(t testing.TB, host string, slot int, version int64) external.Row {
	t.Helper()
	value, err := proto.Marshal(&apiv1.SlotRow{
		Model: "manifest", Slot: uint32(slot), Host: host, Generation: 1, State: apiv1.SlotState_SLOT_STATE_ASSIGNED,
	})
	if err != nil {
		t.Fatal(err)
	}
	return external.Row{Key: external.SlotKey("manifest", uint32(slot)), Value: value, Version: version}
}

func (f *fixture) start(t testing.TB, table external.TableService) {
	t.Helper()
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	quiet := log.New(io.Discard)
	var claims *claim.Store
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if table != nil {
		claims = claim.New(claim.Options{Table: table, Router: "r1", Log: quiet, FlushEvery: time.Millisecond})
		running.Go(func() { _ = claims.Run(ctx) })
	}
	f.router = router.New(router.Options{
		Host: "r1", View: f.view, Pool: pool, Claims: claims, Records: f.records, Log: quiet, MaxBodyBytes: 4096,
		Refresh: func(host string) {
			select {
			case f.refreshed <- host:
			default:
			}
		},
	})
	running.Go(func() { _ = f.router.Run(ctx) })
	server := httptest.NewServer(f.router.Handler())
	f.url = server.URL
	f.client = server.Client()
	f.stop = sync.OnceFunc(func() {
		server.Close()
		_ = f.router.Wait(context.Background())
		cancel()
		running.Wait()
		pool.Close()
	})
	t.Cleanup(f.stop)
}

// report sets the load report of a host that holds one replica.
func (f *fixture) report(host string, slot int, state apiv1.ReplicaState, readyInMs uint32) {
	f.view.SetReport(&apiv1.LoadReport{Host: host, Replicas: []*apiv1.ReplicaReport{
		{Model: "manifest", Slot: uint32(slot), Generation: 1, State: state, ReadyInMs: readyInMs},
	}})
}

// reply is what a caller sees.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r reply) outcome() string { return r.header.Get(router.HeaderOutcome) }

func (f *fixture) do(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers) && headers[i] != ""; i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(raw), err}
}

func (f *fixture) chat(t testing.TB, stream bool, headers ...string) reply {
	t.Helper()
	body := fmt.Sprintf(`{"model":"manifest","stream":%v,"messages":[{"role":"user","content":"summarize"}]}`, stream)
	return f.do(t, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// checkSum demands that every accepted request has ended in one outcome.
func (f *fixture) checkSum(t testing.TB) router.Stats {
	t.Helper()
	if err := f.router.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	s := f.router.Stats()
	if s.InFlight != 0 || s.Accepted != s.Served+s.NotRun+s.Unknown {
		t.Errorf("outcomes don't add up: %+v", s)
	}
	return s
}
