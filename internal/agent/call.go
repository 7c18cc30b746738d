package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// chunkBytes bounds the data of one frame of a body.
const chunkBytes = 32 << 10

// call forwards one call of the plain service. It is sent to the service once.
func (a *Agent) call(ctx context.Context, s frameStream, in *apiv1.CallRequest) {
	if a.opts.Service == nil || in.GetService() != a.opts.ServiceName {
		sendRefusal(s, &apiv1.Refusal{
			Kind:    apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED,
			Message: fmt.Sprintf("the host does not run service %q: read the host list again", in.GetService()),
		})
		return
	}
	if !a.begin() {
		sendRefusal(s, drainRefusal())
		return
	}
	defer a.end()
	a.countCall(1)
	defer a.countCall(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	body := newCallBody()
	defer context.AfterFunc(ctx, body.cut)()
	wait := receive(s, cancel, func(frame *apiv1.RouterFrame) { body.feed(frame.GetChunk()) })
	defer wait()
	defer body.close()
	refusal := a.forwardCall(ctx, s, in, body)
	if refusal != nil {
		a.counters.callFailures.Add(1)
		a.opts.Log.Info("call failed", "host", a.opts.Host, "request", in.GetRequestId(), "service", in.GetService(),
			"unknown", refusal.GetOutcomeUnknown(), "reason", refusal.GetMessage())
		sendRefusal(s, refusal)
	}
}

func (a *Agent) countCall(delta int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls += delta
	a.notify()
}

// forwardCall returns nil after the whole answer was sent, and the refusal to
// send otherwise.
func (a *Agent) forwardCall(ctx context.Context, s frameStream, in *apiv1.CallRequest, body *callBody) *apiv1.Refusal {
	reader, err := body.open(ctx)
	if err != nil {
		return callRefusal(ctx, err, false)
	}
	a.opts.Log.Info("call", "host", a.opts.Host, "request", in.GetRequestId(), "service", in.GetService(), "method", in.GetMethod())
	response, err := a.opts.Service.Call(ctx, external.ServiceCall{
		RequestID: in.GetRequestId(),
		Method:    in.GetMethod(),
		Path:      in.GetPath(),
		Header:    toHeader(in.GetHeaders()),
		Body:      reader,
	})
	if err != nil {
		return callRefusal(ctx, err, external.OutcomeUnknown(err))
	}
	defer func() { _ = response.Body.Close() }()
	head := &apiv1.CallResponse{RequestId: in.GetRequestId(), Status: uint32(response.Status), Headers: fromHeader(response.Header)}
	if err := s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Call{Call: head}}); err != nil {
		return callRefusal(ctx, err, true)
	}
	if err := sendBody(s, in.GetMethod(), response); err != nil {
		return callRefusal(ctx, err, true)
	}
	a.counters.calls.Add(1)
	return nil
}

func callRefusal(ctx context.Context, err error, unknown bool) *apiv1.Refusal {
	kind := apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = apiv1.RefusalKind_REFUSAL_KIND_DEADLINE
	}
	return &apiv1.Refusal{Kind: kind, Message: fmt.Sprintf("call failed: %v", err), OutcomeUnknown: unknown}
}

// sendBody streams the body of an answer. The last chunk is sent only after the
// whole body was read.
func sendBody(s frameStream, method string, response external.ServiceResponse) error {
	buffer := make([]byte, chunkBytes)
	var sent int64
	for {
		n, err := response.Body.Read(buffer)
		sent += int64(n)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			return fmt.Errorf("answer cut after %d bytes: %w", sent, err)
		}
		if last && shortOf(method, response, sent) {
			return fmt.Errorf("answer cut after %d bytes: %w", sent, io.ErrUnexpectedEOF)
		}
		if n > 0 || last {
			if err := sendChunk(s, buffer[:n], last); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
	}
}

func sendChunk(s frameStream, data []byte, last bool) error {
	chunk := &apiv1.BodyChunk{Data: data, Last: last}
	return s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Chunk{Chunk: chunk}})
}

// shortOf reports whether a body has fewer bytes than its header announced.
func shortOf(method string, response external.ServiceResponse, sent int64) bool {
	noBody := method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	announced, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	return err == nil && !noBody && sent < announced
}

func toHeader(lines []*apiv1.Header) http.Header {
	header := make(http.Header, len(lines))
	for _, line := range lines {
		header.Add(line.GetName(), line.GetValue())
	}
	return header
}

func fromHeader(header http.Header) []*apiv1.Header {
	var lines []*apiv1.Header
	for name, values := range header {
		for _, value := range values {
			lines = append(lines, &apiv1.Header{Name: name, Value: value})
		}
	}
	return lines
}
