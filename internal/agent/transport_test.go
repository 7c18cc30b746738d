package agent

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// TestHandleOverTCP takes a cold model's answer through a real session.
func TestHandleOverTCP(t *testing.T) {
	is := is.New(t)
	engine := newFakeEngine()
	engine.loadTime, engine.tokenTime = time.Millisecond, time.Millisecond
	a := New(Options{Host: "host-1", Engine: engine, Seed: 1})
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, a.Handle)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 2)
	go func() { stopped <- a.Run(ctx) }()
	go func() { stopped <- server.Serve(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-stopped)
		is.NoErr(<-stopped)
	}()
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	defer pool.Close()
	ask := func(in *apiv1.RouterFrame) []*apiv1.SidecarFrame {
		s, err := pool.Open(ctx, server.Addr())
		is.NoErr(err)
		defer func() { _ = s.Close() }()
		is.NoErr(s.Send(in))
		var all []*apiv1.SidecarFrame
		for {
			frame := &apiv1.SidecarFrame{}
			if err := s.Recv(frame); errors.Is(err, io.EOF) {
				return all
			}
			all = append(all, frame)
		}
	}
	boot := ask(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Hello{Hello: &apiv1.Hello{}}})[0].GetHello().GetBootId()
	slots := &apiv1.AssignSlots{BootId: boot, ConfigRevision: 1, TableRevision: 1, Slots: []*apiv1.SlotSpec{slot("m", 1)}}
	for !ask(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Assign{Assign: slots}})[0].GetAssign().GetAccepted() {
		time.Sleep(time.Millisecond) // the inventory is still being read
	}
	s := newFakeStream()
	s.out = ask(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Generate{Generate: request("r", "m", 1)}})
	got := read(s)
	is.Equal(len(got.text), 5)
	is.Equal(got.end.GetTotalTokens(), uint32(5))
}
