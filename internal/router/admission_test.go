package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

func TestBadInputIsRefused(t *testing.T) {
	a := newFakeSidecar(t, "a")
	a.generate = serveWords
	f := newFixture(t, nil, a)
	const chat = "/v1/chat/completions"
	good := `{"model":"manifest","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, method, path, body, header, value string
		status                                  int
		kind                                    router.Kind
	}{
		{"bad JSON", "POST", chat, `{"model":`, "", "", 400, router.KindBadRequest},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, "", "", 400, router.KindBadRequest},
		{"no messages", "POST", chat, `{"model":"manifest"}`, "", "", 400, router.KindBadRequest},
		{"bad max_tokens", "POST", chat, strings.Replace(good, "{", `{"max_tokens":-1,`, 1), "", "", 400, router.KindBadRequest},
		{"unknown model", "POST", chat, strings.Replace(good, "manifest", "none", 1), "", "", 404, router.KindUnknownModel},
		{"unknown adapter", "POST", chat, strings.Replace(good, "manifest", "manifest:none", 1), "", "", 404, router.KindUnknownModel},
		{"wrong method", "GET", chat, "", "", "", 405, router.KindMethodNotAllowed},
		{"long body", "POST", chat, strings.Repeat(" ", 5000), "", "", 413, router.KindBodyTooLarge},
		{"bad deadline", "POST", chat, good, router.HeaderDeadline, "soon", 400, router.KindBadRequest},
		{"no deadline left", "POST", chat, good, router.HeaderDeadline, "0", 400, router.KindBadRequest},
		{"bad priority", "POST", chat, good, router.HeaderPriority, "none", 400, router.KindBadRequest},
		{"unknown path", "GET", "/v2", "", "", "", 404, router.KindUnknownPath},
		{"unknown service", "POST", "/services/none/x", "", "", "", 404, router.KindUnknownService},
		{"long body to a service", "POST", "/services/bookings/x", strings.Repeat(" ", 5000), "", "", 413, router.KindBodyTooLarge},
		{"bad key", "POST", "/services/bookings/x", "", router.HeaderIdempotencyKey, "a b", 400, router.KindBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := f.do(t, tc.method, tc.path, tc.body, tc.header, tc.value)
			is.Equal(got.status, tc.status)
			is.Equal(got.outcome(), "not-run")
			is.True(got.header.Get(router.HeaderRequestID) != "")
			is.True(strings.Contains(got.body, `"kind":"`+string(tc.kind)+`"`))
			is.True(!strings.Contains(got.body, `"remedy":""`))
			is.Equal(got.header.Get("Allow") != "", tc.status == 405)
		})
	}
	is.New(t).Equal(f.checkSum(t).Served, int64(0))
}

func TestModelsAreListed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	got := f.do(t, http.MethodGet, "/v1/models", "")
	is.Equal(got.status, http.StatusOK)
	is.True(strings.Contains(got.body, `"manifest:depot"`))
	is.Equal(f.do(t, http.MethodGet, "/readyz", "").status, http.StatusOK)
}

// TestDeadlineThatCannotBeMet covers the refusal by the estimate, at arrival and
// for a request that waits.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	a.generate = serveWords
	f := newFixture(t, nil, a)
	f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_LOADING, 30_400)
	got := f.chat(t, false, router.HeaderDeadline, "2000")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome(), "not-run")
	is.Equal(got.header.Get("Retry-After"), "31") // rounded up
	is.True(strings.Contains(got.body, `"kind":"deadline"`))
	is.Equal(a.generations.Load(), int64(0))

	f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_COLD, 30_400)
	got = f.chat(t, false, router.HeaderDeadline, "2000") // it starts the load
	is.Equal(got.status, http.StatusOK)

	f.view.DropReport("a")
	f.router.Drain()
	got = f.chat(t, false)
	is.Equal(got.outcome(), "not-run")
	is.True(strings.Contains(got.body, `"kind":"draining"`))
	is.Equal(f.do(t, http.MethodGet, "/readyz", "").status, http.StatusServiceUnavailable)
	f.checkSum(t)
}

// held is a sidecar whose generations wait until they are let go.
type held struct {
	*fakeSidecar
	started chan string
	letGo   chan struct{}
}

func newHeld(t *testing.T, host string) *held {
	h := &held{fakeSidecar: newFakeSidecar(t, host), started: make(chan string, 64), letGo: make(chan struct{})}
	h.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) {
		h.started <- req.GetPriorityClass()
		<-h.letGo
		serveWords(s, req)
	}
	return h
}

// waitQueued returns when n requests wait in the queue.
func (f *fixture) waitQueued(n int64) {
	for f.router.Stats().Queued != n {
		time.Sleep(time.Millisecond)
	}
}

// TestFullQueueShedsTheLowestClass fills the window (2) and the queue (4) of a
// model with routine requests and adds urgent ones.
func TestFullQueueShedsTheLowestClass(t *testing.T) {
	is := is.New(t)
	a := newHeld(t, "a")
	f := newFixture(t, nil, a.fakeSidecar)
	f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
	var callers sync.WaitGroup
	replies := make(chan reply, 16)
	ask := func(class string) {
		callers.Go(func() { replies <- f.chat(t, false, router.HeaderPriority, class) })
	}
	for range 2 {
		ask("routine")
		<-a.started
	}
	for i := range 4 {
		ask("routine")
		f.waitQueued(int64(i + 1))
	}
	ask("routine") // refused at once: no lower class to shed
	refused := <-replies
	is.Equal(refused.outcome(), "not-run")
	is.True(strings.Contains(refused.body, `"kind":"queue_full"`))
	ask("urgent") // takes the place of the latest routine one
	shed := <-replies
	is.Equal(shed.outcome(), "not-run")
	is.True(strings.Contains(shed.body, `"kind":"shed"`))
	is.True(shed.header.Get("Retry-After") != "")

	a.letGo <- struct{}{}           // one place is free
	is.Equal(<-a.started, "urgent") // first out of the queue
	close(a.letGo)
	callers.Wait()
	close(replies)
	for got := range replies {
		is.Equal(got.status, http.StatusOK)
	}
	s := f.checkSum(t)
	is.Equal(s.Served, int64(6))
	is.Equal(s.NotRun, int64(2))
}

// TestSlowHostDoesNotSlowOthers holds one replica; requests go to the other one.
func TestSlowHostDoesNotSlowOthers(t *testing.T) {
	is := is.New(t)
	slow, fast := newHeld(t, "a"), newFakeSidecar(t, "b")
	fast.generate = serveWords
	f := newFixture(t, nil, slow.fakeSidecar, fast)
	f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
	f.report("b", 1, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
	var stuck sync.WaitGroup
	for i := range 20 {
		body := fmt.Sprintf(`{"model":"manifest","messages":[{"role":"user","content":"prompt %d"}]}`, i)
		done := make(chan struct{})
		stuck.Go(func() {
			f.do(t, http.MethodPost, "/v1/chat/completions", body)
			close(done)
		})
		select {
		case <-slow.started:
		case <-done:
		}
	}
	is.True(slow.generations.Load() <= 2) // its window
	is.True(fast.generations.Load() >= 18)
	close(slow.letGo)
	stuck.Wait()
	f.checkSum(t)
}

func TestCallerThatLeavesCancels(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	started, cancelled := make(chan struct{}), make(chan bool, 1)
	a.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) {
		sendTokens(s, req.GetRequestId(), 0, words[0])
		close(started)
		frame := &apiv1.RouterFrame{}
		err := s.Recv(frame)
		cancelled <- err == nil && frame.GetCancel() != nil
	}
	f := newFixture(t, nil, a)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions",
		strings.NewReader(`{"model":"manifest","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	is.NoErr(err)
	go func() {
		<-started
		cancel()
	}()
	resp, err := f.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(<-cancelled)
	s := f.checkSum(t)
	is.Equal(s.Unknown, int64(1))
	is.Equal(s.Refused[router.KindCallerGone], int64(1))
}

// TestDeadlinePassesWhileQueued has no live replica.
func TestDeadlinePassesWhileQueued(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	got := f.chat(t, true, router.HeaderDeadline, "40")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome(), "not-run")
	f.checkSum(t)
	record := f.records.last()
	is.Equal(record.GetPhases()[0].GetCause(), "no replica is assigned to a live host")
}
