package agent

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// releaseTimeout bounds the wait for a release whose requests still run.
const releaseTimeout = 30 * time.Second

var errOverrun = errors.New("the router reads its watch too slowly: it has to open it again")

// frameStream is the part of a transport.Stream that the agent uses.
type frameStream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	Close() error
}

// Handle serves one stream of a router and closes it. It is a
// transport.Handler.
func (a *Agent) Handle(ctx context.Context, stream *transport.Stream) { a.serve(ctx, stream) }

func (a *Agent) serve(ctx context.Context, s frameStream) {
	defer func() { _ = s.Close() }()
	first := &apiv1.RouterFrame{}
	if err := s.Recv(first); err != nil {
		return
	}
	switch body := first.GetBody().(type) {
	case *apiv1.RouterFrame_Hello:
		a.hello(s)
	case *apiv1.RouterFrame_Assign:
		a.assign(s, body.Assign)
	case *apiv1.RouterFrame_Release:
		a.release(ctx, s, body.Release)
	case *apiv1.RouterFrame_Watch:
		a.watch(ctx, s, body.Watch)
	case *apiv1.RouterFrame_Generate:
		a.generate(ctx, s, body.Generate)
	case *apiv1.RouterFrame_Call:
		a.call(ctx, s, body.Call)
	default:
		a.counters.badFrames.Add(1)
	}
}

// receive hands the further frames of a stream to take, and calls cancel when
// the router has closed it or cancels. The returned function closes the stream
// and waits for the end.
func receive(s frameStream, cancel func(), take func(*apiv1.RouterFrame)) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		for {
			frame := &apiv1.RouterFrame{}
			if err := s.Recv(frame); err != nil || frame.GetCancel() != nil {
				return
			}
			take(frame)
		}
	}()
	return func() {
		_ = s.Close()
		<-done
	}
}

func (a *Agent) hello(s frameStream) {
	// Wake notices a pause first: the router must learn the new boot id.
	a.do(a.planner.Wake)
	a.mu.Lock()
	reply := &apiv1.HelloReply{Host: a.opts.Host, BootId: a.planner.BootID()}
	a.mu.Unlock()
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Hello{Hello: reply}})
}

func (a *Agent) assign(s frameStream, in *apiv1.AssignSlots) {
	reply := &apiv1.AssignReply{Accepted: true}
	a.do(func(now time.Time) []planner.Action {
		actions, err := a.planner.Assign(now, in)
		if err != nil {
			reply.Accepted = false
			reply.Reason = err.Error()
		}
		report := a.planner.Report(now)
		reply.BootId = report.GetBootId()
		reply.ConfigRevision = report.GetConfigRevision()
		reply.TableRevision = report.GetTableRevision()
		return actions
	})
	if reply.GetAccepted() {
		a.heedHostList(in.GetLeaving(), in.GetHostListRevision())
		a.heedDrain(in.GetDraining())
	}
	a.opts.Log.Info("slots", "host", a.opts.Host, "accepted", reply.GetAccepted(), "reason", reply.GetReason(),
		"slots", len(in.GetSlots()), "config", in.GetConfigRevision(), "table", in.GetTableRevision())
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Assign{Assign: reply}})
}

func (a *Agent) release(ctx context.Context, s frameStream, in *apiv1.ReleaseSlot) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	wait := receive(s, cancel, func(*apiv1.RouterFrame) {})
	defer wait()
	result := a.awaitRelease(ctx, in)
	a.opts.Log.Info("release", "host", a.opts.Host, "model", in.GetModel(), "slot", in.GetSlot(),
		"generation", in.GetGeneration(), "released", result.Done, "reason", result.Reason)
	reply := &apiv1.ReleaseReply{Released: result.Done, Reason: result.Reason}
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Release{Release: reply}})
}

func (a *Agent) awaitRelease(ctx context.Context, in *apiv1.ReleaseSlot) planner.Released {
	answer := make(chan planner.Released, 1)
	var id uint64
	a.do(func(now time.Time) []planner.Action {
		id = a.planner.NewID()
		a.releases[id] = answer
		key := slots.Key{Model: in.GetModel(), Slot: in.GetSlot()}
		return a.planner.Release(now, id, key, in.GetGeneration(), in.GetEpoch())
	})
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.EndRelease(id)
	delete(a.releases, id)
	select {
	case result := <-answer:
		return result
	default:
		return planner.Released{Reason: "requests still run or the engine has not confirmed: release again later"}
	}
}
