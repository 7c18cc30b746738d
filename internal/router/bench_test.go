package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	benchReplicas = 4 // of each model
	benchPerHost  = 4 // replicas of each host
)

func benchHost(model, replica int) string {
	return fmt.Sprintf("h%d", (model*benchReplicas+replica)/benchPerHost)
}

// benchRouter knows a number of models with ready replicas.
func benchRouter(b *testing.B, models int, address string) *Router {
	b.Helper()
	store := view.NewStore()
	set := &apiv1.ObjectSet{Placements: []*apiv1.Placement{{Name: "p", TargetInFlight: 1000}}}
	changes := external.Changes{Revision: 1}
	listing := external.HostListing{Revision: 1}
	reports := make(map[string]*apiv1.LoadReport)
	for m := range models {
		name := fmt.Sprintf("m%d", m)
		set.Models = append(set.Models, &apiv1.Model{Name: name, Placement: "p"})
		for n := range benchReplicas {
			host := benchHost(m, n)
			if reports[host] == nil {
				reports[host] = &apiv1.LoadReport{Host: host}
				listing.Hosts = append(listing.Hosts, external.Host{ID: host, Address: address, State: external.HostLive})
			}
			reports[host].Replicas = append(reports[host].Replicas, &apiv1.ReplicaReport{
				Model: name, Slot: uint32(n), Generation: 1, State: apiv1.ReplicaState_REPLICA_STATE_READY,
			})
			row := &apiv1.SlotRow{Model: name, Slot: uint32(n), Host: host, Generation: 1, State: apiv1.SlotState_SLOT_STATE_ASSIGNED}
			value, err := proto.Marshal(row)
			if err != nil {
				b.Fatal(err)
			}
			changes.Rows = append(changes.Rows, external.Row{Key: external.SlotKey(name, uint32(n)), Value: value, Version: 1})
		}
	}
	store.SetConfig(config.NewIndex(1, set))
	store.SetHosts(listing)
	store.ApplyRows(changes)
	for _, report := range reports {
		store.SetReport(report)
	}
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	b.Cleanup(pool.Close)
	quiet := log.New(io.Discard)
	quiet.SetLevel(log.ErrorLevel)
	return New(Options{Host: "r1", View: store, Pool: pool, Log: quiet})
}

// BenchmarkDecision is one choice of a replica and the end of its request.
func BenchmarkDecision(b *testing.B) {
	for _, models := range []int{45, 650, 10_000} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			r := benchRouter(b, models, "")
			names := make([]string, models)
			for i := range names {
				names[i] = fmt.Sprintf("m%d", i)
			}
			t := &ticket{x: &exchange{r: r}}
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := r.model(names[i%models])
				t.wish.Key = uint64(i)
				m.mu.Lock()
				g := r.pick(m, r.opts.View.Load(), t, now)
				m.mu.Unlock()
				if g == nil {
					b.Fatal("no replica")
				}
				r.release(g)
			}
		})
	}
}

// BenchmarkEvent is the encoding of one token.
func BenchmarkEvent(b *testing.B) {
	head := appendHead(nil, "chat.completion.chunk", "r1.abc.1-2", "manifest", 1_700_000_000)
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf = appendEvent(buf[:0], head, false, " pallets")
	}
}

// benchTokens is the length of one answer.
const benchTokens = 64

func benchSidecar(b *testing.B) string {
	b.Helper()
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, func(_ context.Context, s *transport.Stream) {
		defer func() { _ = s.Close() }()
		in := &apiv1.RouterFrame{}
		if s.Recv(in) != nil {
			return
		}
		id := in.GetGenerate().GetRequestId()
		for i := range benchTokens {
			_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Tokens{Tokens: &apiv1.Tokens{RequestId: id, Offset: uint32(i), Text: []string{"token "}}}})
		}
		_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_End{End: &apiv1.StreamEnd{RequestId: id, TotalTokens: benchTokens, FinishReason: "stop"}}})
	})
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(context.Background()) }()
	b.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return server.Addr()
}

// BenchmarkWarmStream is one streamed answer of 64 tokens: read from the
// sidecar by hand, and through a router.
func BenchmarkWarmStream(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		address := benchSidecar(b)
		pool := transport.NewPool(transport.Credentials{}, time.Minute)
		b.Cleanup(pool.Close)
		for b.Loop() {
			s, err := pool.Open(context.Background(), address)
			if err != nil {
				b.Fatal(err)
			}
			_ = s.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Generate{Generate: &apiv1.GenerateRequest{RequestId: "r"}}})
			frame := &apiv1.SidecarFrame{}
			for frame.GetEnd() == nil {
				if err := s.Recv(frame); err != nil {
					b.Fatal(err)
				}
			}
			_ = s.Close()
		}
	})
	b.Run("router", func(b *testing.B) {
		r := benchRouter(b, 1, benchSidecar(b))
		server := httptest.NewServer(r.Handler())
		b.Cleanup(server.Close)
		body := `{"model":"m0","stream":true,"messages":[{"role":"user","content":"hi"}]}`
		for b.Loop() {
			resp, err := server.Client().Post(server.URL+pathChat, "application/json", strings.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(raw), "data: [DONE]\n\n") {
				b.Fatal(resp.Status, err)
			}
		}
	})
}

// TestAppendJSONString compares with what the decoder of encoding/json reads.
func TestAppendJSONString(t *testing.T) {
	for _, text := range []string{"", "plain", "q\"\\\n\r\t\x00\x1f", "žltý gér ᠮ", "<&>\u2028", "bad \xff utf"} {
		var back string
		if err := json.Unmarshal(appendJSONString(nil, text), &back); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if want := strings.ToValidUTF8(text, "\ufffd"); back != want {
			t.Errorf("got %q, want %q", back, want)
		}
	}
}
