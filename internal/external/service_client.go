package external

import (
	"context"
	"io"
	"net/http"
)

// HeaderRequestID carries the id of a request to an upstream.
const HeaderRequestID = "Ragwortdoor-Request-Id"

type serviceClient struct{ *client }

// NewServiceClient makes a client of a plain service. A call is sent once.
func NewServiceClient(o ClientOptions) Service {
	return &serviceClient{newClient("service", o)}
}

// Call implements Service. Its only limit is ctx, which also ends the body of
// the answer. Every status is an answer, not an error.
func (s *serviceClient) Call(ctx context.Context, sc ServiceCall) (ServiceResponse, error) {
	const op = "service call"
	tracker := &sendTracker{}
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), sc.Method, s.base+sc.Path, callBody(sc.Body))
	if err != nil {
		return ServiceResponse{}, s.invalid(op, err)
	}
	req.Header = sc.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderRequestID, sc.RequestID)
	resp, err := s.roundTripper().RoundTrip(req)
	if err != nil {
		return ServiceResponse{}, s.unavailable(op, tracker.maybeSent(), err)
	}
	return ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func (s *serviceClient) roundTripper() http.RoundTripper {
	if s.http.Transport == nil {
		return http.DefaultTransport
	}
	return s.http.Transport
}

// callBody hides the type of a body. net/http repeats a GET, or a call with an
// Idempotency-Key header, on another connection if it has no body or can rewind
// it; it can't rewind this one, empty or not.
func callBody(body io.Reader) io.Reader {
	if body == nil {
		body = http.NoBody
	}
	return struct{ io.Reader }{body}
}
