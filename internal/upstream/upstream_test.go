package upstream

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const host = "h1"

// fakeSidecar answers hello, assign and watch streams, and checks that the
// table was read between the hello and the assignment of a boot.
type fakeSidecar struct {
	reads func() int // reads of the table so far

	mu           sync.Mutex
	boot         int
	readsAtHello int
	refused      int
	assigned     chan *apiv1.AssignSlots
	permits      chan *apiv1.LoadPermit
	watch        *transport.Stream
}

func (f *fakeSidecar) bootID() string { return strconv.Itoa(f.boot) }

func (f *fakeSidecar) handle(_ context.Context, s *transport.Stream) {
	defer func() { _ = s.Close() }()
	in := &apiv1.RouterFrame{}
	if s.Recv(in) != nil {
		return
	}
	switch body := in.GetBody().(type) {
	case *apiv1.RouterFrame_Hello:
		_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Hello{Hello: f.hello()}})
	case *apiv1.RouterFrame_Assign:
		_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Assign{Assign: f.assign(body.Assign)}})
	case *apiv1.RouterFrame_Watch:
		f.watchStream(s)
	}
}

func (f *fakeSidecar) hello() *apiv1.HelloReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsAtHello = f.reads()
	return &apiv1.HelloReply{Host: host, BootId: f.bootID()}
}

func (f *fakeSidecar) assign(a *apiv1.AssignSlots) *apiv1.AssignReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.GetBootId() != f.bootID() || f.reads() <= f.readsAtHello {
		f.refused++
		return &apiv1.AssignReply{Reason: "boot id or read is old"}
	}
	f.assigned <- a
	return &apiv1.AssignReply{Accepted: true}
}

func (f *fakeSidecar) watchStream(s *transport.Stream) {
	f.mu.Lock()
	f.watch = s
	f.mu.Unlock()
	f.report()
	for {
		in := &apiv1.RouterFrame{}
		if s.Recv(in) != nil {
			return
		}
		if in.GetPermit() != nil {
			f.permits <- in.GetPermit()
		}
	}
}

func (f *fakeSidecar) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.watch.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Report{Report: &apiv1.LoadReport{Host: host, BootId: f.bootID()}}})
}

func (f *fakeSidecar) restart() {
	f.mu.Lock()
	f.boot++
	f.mu.Unlock()
	f.report()
}

type noPermits struct{}

func (noPermits) Request(string, *apiv1.PermitRequest) bool { return false }
func (noPermits) Lost(string)                               {}

type bench struct {
	sidecar *fakeSidecar
	store   *view.Store
	manager *Manager
}

func newBench(t *testing.T) *bench {
	t.Helper()
	var mu sync.Mutex
	reads := 0
	sidecar := &fakeSidecar{
		assigned: make(chan *apiv1.AssignSlots, 16),
		permits:  make(chan *apiv1.LoadPermit, 16),
		reads: func() int {
			mu.Lock()
			defer mu.Unlock()
			return reads
		},
	}
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, sidecar.handle)
	if err != nil {
		t.Fatal(err)
	}
	store := view.NewStore()
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	manager := NewManager(Options{
		Router: "r1", View: store, Pool: pool, ReportPeriod: time.Second, Permits: noPermits{}, Log: log.New(io.Discard),
		Watches: func(external.Host) bool { return true },
		Refresh: func(context.Context) error {
			mu.Lock()
			defer mu.Unlock()
			reads++
			return nil
		},
	})
	store.SetHosts(external.HostListing{Revision: 1, Hosts: []external.Host{{ID: host, Role: external.RoleUpstream, Address: server.Addr()}}})
	store.SetConfig(config.NewIndex(1, &apiv1.ObjectSet{
		Models:   []*apiv1.Model{{Name: "m", Version: "v"}},
		Versions: []*apiv1.Version{{Name: "v", Model: "m", Checkpoint: "c", MemoryMib: 5}},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx) })
	wg.Go(func() { _ = manager.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		wg.Wait()
	})
	return &bench{sidecar: sidecar, store: store, manager: manager}
}

func (b *bench) putSlot(t *testing.T, generation uint64, version int64) {
	t.Helper()
	value, err := proto.Marshal(&apiv1.SlotRow{Model: "m", Host: host, Generation: generation, State: apiv1.SlotState_SLOT_STATE_ASSIGNED})
	if err != nil {
		t.Fatal(err)
	}
	b.store.ApplyRows(external.Changes{Revision: version, Rows: []external.Row{{Key: external.SlotKey("m", 0), Value: value, Version: version}}})
}

func TestLinkHandsOverSlots(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.putSlot(t, 3, 10)
	var got *apiv1.AssignSlots
	for len(got.GetSlots()) == 0 { // an assignment without slots may come first
		got = <-b.sidecar.assigned
	}
	is.Equal(got.GetSlots()[0].GetGeneration(), uint64(3))
	is.Equal(got.GetSlots()[0].GetMemoryMib(), uint32(5))
	is.Equal(got.GetTableRevision(), uint64(10))

	b.sidecar.restart()
	for got.GetBootId() != "1" {
		got = <-b.sidecar.assigned
	}
	is.Equal(len(got.GetSlots()), 1)
}

func TestPermitWithoutAllocatorFallsBack(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	<-b.sidecar.assigned
	b.sidecar.mu.Lock()
	watch := b.sidecar.watch
	b.sidecar.mu.Unlock()
	is.NoErr(watch.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Permit{Permit: &apiv1.PermitRequest{Id: 4}}}))
	permit := <-b.sidecar.permits
	is.True(permit.GetNoAllocator())
	is.Equal(permit.GetId(), uint64(4))
}

func TestReleaseOfAnUnlistedHostNamesTheRemedy(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	_, err := b.manager.Release(context.Background(), "gone", &apiv1.ReleaseSlot{Model: "m"})
	is.True(err != nil)
}
