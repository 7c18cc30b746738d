package capacity_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/capacity"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// BenchmarkSessions measures the memory of a session with an open watch stream.
// Both ends run here, so that one end costs half of "B/session-pair".
func BenchmarkSessions(b *testing.B) {
	var open sync.WaitGroup
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, func(ctx context.Context, s *transport.Stream) {
		if s.Recv(&apiv1.RouterFrame{}) == nil {
			open.Done()
		}
		<-ctx.Done()
		_ = s.Close()
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx) })
	defer serving.Wait()
	defer cancel()
	for b.Loop() {
		before := heapInUse()
		goroutines := runtime.NumGoroutine()
		sessions := openSessions(b, server.Addr(), &open)
		b.ReportMetric((heapInUse()-before)/capacity.SidecarsPerDomain, "B/session-pair")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/capacity.SidecarsPerDomain, "goroutines/session-pair")
		for _, s := range sessions {
			_ = s.Close()
		}
	}
}

func openSessions(b *testing.B, addr string, open *sync.WaitGroup) []*transport.Session {
	sessions := make([]*transport.Session, 0, capacity.SidecarsPerDomain)
	open.Add(capacity.SidecarsPerDomain)
	for range capacity.SidecarsPerDomain {
		s, err := transport.Dial(context.Background(), addr, transport.Credentials{})
		if err != nil {
			b.Fatal(err)
		}
		stream, err := s.Open()
		if err != nil {
			b.Fatal(err)
		}
		if err := stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Watch{Watch: &apiv1.Watch{}}}); err != nil {
			b.Fatal(err)
		}
		sessions = append(sessions, s)
	}
	open.Wait()
	return sessions
}

// BenchmarkLoadReport measures the decoding and storing of one report.
func BenchmarkLoadReport(b *testing.B) {
	data, err := proto.Marshal(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Report{Report: report()}})
	if err != nil {
		b.Fatal(err)
	}
	store := view.NewStore()
	b.ReportAllocs()
	for b.Loop() {
		frame := &apiv1.SidecarFrame{}
		if err := proto.Unmarshal(data, frame); err != nil {
			b.Fatal(err)
		}
		store.SetReport(frame.GetReport())
	}
	b.ReportMetric(float64(len(data)), "B/report")
}

// BenchmarkTablePoll measures a poll that finds ten changed slots among all.
func BenchmarkTablePoll(b *testing.B) {
	store := view.NewStore()
	before := heapInUse()
	all := fullSlots()
	store.ApplyRows(all)
	memory := heapInUse() - before
	revision := all.Revision
	b.ReportAllocs()
	var size int
	for b.Loop() {
		var changes external.Changes
		for i := range 10 {
			revision++
			changes.Rows = append(changes.Rows, slotRow(i, 0, revision))
		}
		changes.Revision = revision
		data, err := json.Marshal(changes)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var read external.Changes
		if err := json.Unmarshal(data, &read); err != nil {
			b.Fatal(err)
		}
		store.ApplyRows(read)
	}
	b.ReportMetric(float64(size), "B/poll")
	b.ReportMetric(memory, "B-slots")
}

// BenchmarkConfiguration measures the load of a configuration of full size.
func BenchmarkConfiguration(b *testing.B) {
	body, err := config.EncodeSet(fullSet())
	if err != nil {
		b.Fatal(err)
	}
	before := heapInUse()
	var index *config.Index
	for b.Loop() {
		set, err := config.DecodeSet(body)
		if err != nil {
			b.Fatal(err)
		}
		index = config.NewIndex(1, set)
	}
	b.ReportMetric(float64(len(body)), "B/body")
	b.ReportMetric(heapInUse()-before, "B-index")
	runtime.KeepAlive(index)
}

// BenchmarkHostList measures the decoding of a host list of full size.
func BenchmarkHostList(b *testing.B) {
	data, err := json.Marshal(fullHosts())
	if err != nil {
		b.Fatal(err)
	}
	var packed bytes.Buffer
	zip := gzip.NewWriter(&packed)
	_, _ = zip.Write(data)
	_ = zip.Close()
	store := view.NewStore()
	before := heapInUse()
	for b.Loop() {
		var listing external.HostListing
		if err := json.Unmarshal(data, &listing); err != nil {
			b.Fatal(err)
		}
		store.SetHosts(listing)
	}
	b.ReportMetric(float64(len(data)), "B/list")
	b.ReportMetric(float64(packed.Len()), "B/list-gzip")
	b.ReportMetric(heapInUse()-before, "B-hosts")
	runtime.KeepAlive(store)
}

// BenchmarkAssignmentPush measures one push of an assignment over a session.
func BenchmarkAssignmentPush(b *testing.B) {
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, func(_ context.Context, s *transport.Stream) {
		defer func() { _ = s.Close() }()
		if s.Recv(&apiv1.RouterFrame{}) == nil {
			_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Assign{Assign: &apiv1.AssignReply{Accepted: true}}})
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx) })
	defer serving.Wait()
	defer cancel()
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	defer pool.Close()
	frame := &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Assign{Assign: &apiv1.AssignSlots{
		BootId: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", ConfigRevision: 90_000, TableRevision: 9_000_000, Deployment: &apiv1.Deployment{Name: "d"},
		Slots: []*apiv1.SlotSpec{{Model: "model-042", Generation: 900, Epoch: 12, Version: "model-042-v1", Checkpoint: "checkpoints/model-042/v1", MemoryMib: 40 << 10}},
	}}}
	for b.Loop() {
		stream, err := pool.Open(ctx, server.Addr())
		if err != nil {
			b.Fatal(err)
		}
		if err := stream.Send(frame); err != nil {
			b.Fatal(err)
		}
		if err := stream.Recv(&apiv1.SidecarFrame{}); err != nil {
			b.Fatal(err)
		}
		_ = stream.Close()
	}
	b.ReportMetric(float64(proto.Size(frame)), "B/push")
}

// BenchmarkGossip measures the sealing and merging of a message.
func BenchmarkGossip(b *testing.B) {
	m := &apiv1.Gossip{Router: "router-00042", BootId: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Sequence: 100_000, ConfigRevision: 90_000, OperatorAddress: "10.0.1.2:9001", SentUnixMs: 1_790_000_000_000}
	for b.Loop() {
		data, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(data, &apiv1.Gossip{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(m)), "B/message")
}
