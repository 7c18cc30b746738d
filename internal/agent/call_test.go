package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// fakeService answers with a body; it counts the calls that it ran whole.
type fakeService struct {
	runs   int
	err    error // of the call
	header http.Header
	body   io.Reader
	took   time.Duration
}

func (f *fakeService) Call(ctx context.Context, call external.ServiceCall) (external.ServiceResponse, error) {
	if f.err != nil {
		return external.ServiceResponse{}, f.err
	}
	sent, err := io.ReadAll(call.Body)
	if err != nil {
		return external.ServiceResponse{}, &external.Error{Kind: external.KindUnavailable, Op: "call", OutcomeUnknown: true, Err: err}
	}
	f.runs++
	select {
	case <-time.After(f.took):
	case <-ctx.Done():
		return external.ServiceResponse{}, ctx.Err()
	}
	if f.body == nil {
		f.body = bytes.NewReader(sent)
	}
	return external.ServiceResponse{Status: http.StatusCreated, Header: f.header, Body: io.NopCloser(f.body)}, nil
}

func chunk(data string, last bool) *apiv1.RouterFrame {
	return &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Chunk{Chunk: &apiv1.BodyChunk{Data: []byte(data), Last: last}}}
}

func callFrame(service string) *apiv1.RouterFrame {
	return &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Call{Call: &apiv1.CallRequest{
		RequestId: "r", Service: service, Method: http.MethodPost, Path: "/book", DeadlineMs: 5000,
	}}}
}

// reply is what a router makes of the frames of a call.
type reply struct {
	status  uint32
	body    string
	whole   bool
	refusal *apiv1.Refusal
}

func readReply(s *fakeStream) reply {
	var got reply
	for _, frame := range s.frames() {
		got.status = max(got.status, frame.GetCall().GetStatus())
		got.body += string(frame.GetChunk().GetData())
		got.whole = got.whole || frame.GetChunk().GetLast()
		if frame.GetRefusal() != nil {
			got.refusal = frame.GetRefusal()
		}
	}
	return got
}

// TestCallOutcomes holds one row for each place at which a call can fail.
func TestCallOutcomes(t *testing.T) {
	cut := errors.New("connection reset")
	whole := []*apiv1.RouterFrame{chunk("one,", false), chunk("two", true)}
	for _, tc := range []struct {
		name    string
		service *fakeService
		call    string // name of the service
		drain   bool
		chunks  []*apiv1.RouterFrame
		whole   bool
		unknown bool
		runs    int
	}{
		{name: "answered", service: &fakeService{}, chunks: whole, whole: true, runs: 1},
		{name: "empty body", service: &fakeService{}, chunks: []*apiv1.RouterFrame{chunk("", true)}, whole: true, runs: 1},
		{name: "other service", service: &fakeService{}, call: "other", chunks: whole},
		{name: "draining", service: &fakeService{}, drain: true, chunks: whole},
		{name: "body never comes", service: &fakeService{}},
		{name: "body cut", service: &fakeService{}, chunks: whole[:1], unknown: true},
		{name: "not sent", service: &fakeService{err: &external.Error{Kind: external.KindUnavailable, Err: cut}}, chunks: whole},
		{name: "sent, no answer", service: &fakeService{err: &external.Error{OutcomeUnknown: true, Err: cut}}, chunks: whole, unknown: true},
		{name: "untyped error", service: &fakeService{err: cut}, chunks: whole, unknown: true},
		{name: "answer after the deadline", service: &fakeService{took: time.Minute}, chunks: whole, unknown: true, runs: 1},
		{
			name: "answer cut", chunks: whole, unknown: true, runs: 1,
			service: &fakeService{body: io.MultiReader(strings.NewReader("half"), iotest.ErrReader(cut))},
		},
		{
			name: "answer short of its length", chunks: whole, unknown: true, runs: 1,
			service: &fakeService{body: strings.NewReader("half"), header: http.Header{"Content-Length": {"9"}}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(newFakeEngine(), func(o *Options) { o.Engine, o.Service, o.ServiceName = nil, tc.service, "book" })
				defer b.close()
				if tc.drain {
					b.agent.Drain()
				}
				if tc.call == "" {
					tc.call = "book"
				}
				s := b.open(callFrame(tc.call))
				for _, c := range tc.chunks {
					s.in <- c
				}
				<-s.closed
				got := readReply(s)
				is.Equal(got.whole, tc.whole)
				is.Equal(got.refusal == nil, tc.whole)
				is.Equal(got.refusal.GetOutcomeUnknown(), tc.unknown)
				is.Equal(tc.service.runs, tc.runs)
				if tc.whole {
					is.Equal(got.status, uint32(http.StatusCreated))
				}
				if tc.drain {
					is.True(got.refusal.GetRetryAfterMs() > 0)
				}
			})
		})
	}
}

func TestDrainWaitsForARunningCall(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		service := &fakeService{took: 2 * time.Second}
		b := newBench(newFakeEngine(), func(o *Options) { o.Engine, o.Service, o.ServiceName = nil, service, "book" })
		defer b.close()
		s := b.open(callFrame("book"))
		s.in <- chunk("x", true)
		synctest.Wait()
		b.agent.Drain()
		is.NoErr(b.agent.Wait(t.Context()))
		synctest.Wait()
		is.Equal(readReply(s).body, "x")
		is.True(readReply(s).whole)
	})
}
