package agent

import (
	"context"
	"flag"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}

// fakeStream is the sidecar's end of a stream; the test plays the router.
type fakeStream struct {
	in     chan *apiv1.RouterFrame
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	out   []*apiv1.SidecarFrame
	stall chan struct{} // Send blocks on it while it is not nil
}

func newFakeStream() *fakeStream {
	return &fakeStream{in: make(chan *apiv1.RouterFrame, 64), closed: make(chan struct{})}
}

func (s *fakeStream) Send(m proto.Message) error {
	s.mu.Lock()
	stall := s.stall
	s.mu.Unlock()
	if stall != nil {
		select {
		case <-stall:
		case <-s.closed:
		}
	}
	select {
	case <-s.closed:
		return io.ErrClosedPipe
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, m.(*apiv1.SidecarFrame))
	return nil
}

func (s *fakeStream) Recv(m proto.Message) error {
	select {
	case frame := <-s.in:
		proto.Merge(m, frame)
		return nil
	case <-s.closed:
		return io.EOF
	}
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *fakeStream) frames() []*apiv1.SidecarFrame {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*apiv1.SidecarFrame(nil), s.out...)
}

// testClock is the clock of the bubble, moved on by the pauses of the process.
type testClock struct {
	mu     sync.Mutex
	paused time.Duration
}

func (c *testClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.paused)
}

func (c *testClock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused += d
}

// bench is one agent beside a fake engine, within a synctest bubble.
type bench struct {
	opts   Options
	agent  *Agent
	engine *fakeEngine
	clock  *testClock
	table  uint64
	wg     sync.WaitGroup
	ctx    context.Context // of the agent and its streams
	stop   func()
}

// newBench starts an agent that has read the engine's inventory.
func newBench(engine *fakeEngine, change func(*Options)) *bench {
	b := &bench{engine: engine, clock: &testClock{}}
	b.opts = Options{Host: "host-1", Engine: engine, Clock: b.clock, Seed: 1, EngineFences: engine.fences != nil}
	if change != nil {
		change(&b.opts)
	}
	b.start()
	time.Sleep(3 * time.Second) // nothing is loaded in the first two
	synctest.Wait()
	return b
}

func (b *bench) start() {
	b.agent = New(b.opts)
	ctx, cancel := context.WithCancel(context.Background())
	b.ctx, b.stop = ctx, cancel
	agent := b.agent
	b.wg.Go(func() { _ = agent.Run(ctx) })
	synctest.Wait()
}

// restart kills the sidecar process and starts another beside the same engine.
func (b *bench) restart() {
	b.stop()
	b.wg.Wait()
	b.start()
}

// close stops the agent and waits for the engine's last orders.
func (b *bench) close() {
	b.stop()
	b.wg.Wait()
	time.Sleep(time.Minute)
}

// open starts a stream with its first frame.
func (b *bench) open(frame *apiv1.RouterFrame) *fakeStream {
	s := newFakeStream()
	s.in <- frame
	agent, ctx := b.agent, b.ctx
	b.wg.Go(func() { agent.serve(ctx, s) })
	return s
}

// ask opens a stream and returns its only frame.
func (b *bench) ask(frame *apiv1.RouterFrame) *apiv1.SidecarFrame {
	s := b.open(frame)
	<-s.closed
	return s.frames()[0]
}

func (b *bench) bootID() string {
	reply := b.ask(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Hello{Hello: &apiv1.Hello{Router: "r"}}})
	return reply.GetHello().GetBootId()
}

func slot(model string, generation uint64) *apiv1.SlotSpec {
	return &apiv1.SlotSpec{
		Model: model, Generation: generation, Epoch: generation, Version: model + "-v1",
		Checkpoint: model + "-v1.ckpt", MemoryMib: 40, KeepAliveMs: 60_000,
	}
}

func (b *bench) assign(specs ...*apiv1.SlotSpec) *apiv1.AssignReply {
	b.table++
	return b.ask(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Assign{Assign: &apiv1.AssignSlots{
		BootId: b.bootID(), ConfigRevision: 1, TableRevision: b.table, Slots: specs,
	}}}).GetAssign()
}

func (b *bench) release(model string, generation uint64) *fakeStream {
	return b.open(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Release{Release: &apiv1.ReleaseSlot{
		Model: model, Generation: generation, Epoch: generation,
	}}})
}

func request(id, model string, generation uint64) *apiv1.GenerateRequest {
	return &apiv1.GenerateRequest{
		RequestId: id, Attempt: 1, Model: model, Generation: generation, ConfigRevision: 1, TableRevision: 1,
		DeadlineMs: 20_000, MaxTokens: 5,
	}
}

func (b *bench) generate(in *apiv1.GenerateRequest) *fakeStream {
	return b.open(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Generate{Generate: in}})
}

// answer is what a router makes of the frames of a generation.
type answer struct {
	text    []string
	gap     bool
	phases  []*apiv1.Phase
	end     *apiv1.StreamEnd
	refusal *apiv1.Refusal
	ends    int
}

func read(s *fakeStream) answer {
	var got answer
	for _, frame := range s.frames() {
		switch body := frame.GetBody().(type) {
		case *apiv1.SidecarFrame_Tokens:
			got.gap = got.gap || int(body.Tokens.GetOffset()) != len(got.text) || got.ends > 0
			got.text = append(got.text, body.Tokens.GetText()...)
		case *apiv1.SidecarFrame_Phase:
			got.phases = append(got.phases, body.Phase)
		case *apiv1.SidecarFrame_End:
			got.end = body.End
			got.ends++
		case *apiv1.SidecarFrame_Refusal:
			got.refusal = body.Refusal
			got.ends++
		}
	}
	return got
}

// result waits for the end of a generation.
func result(s *fakeStream) answer {
	<-s.closed
	return read(s)
}

// bubble runs test with a fake clock.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

var _ external.Engine = (*fakeEngine)(nil)
