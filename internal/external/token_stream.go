package external

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	opStream = "engine stream"
	// drainTimeout limits the wait for the end of the body of a complete answer.
	drainTimeout = 50 * time.Millisecond
)

// tokenStream reads an engine's answer, one JSON event a line.
type tokenStream struct {
	client *client
	body   io.ReadCloser
	cancel context.CancelFunc
	dec    *json.Decoder
	// end is what every further Next returns.
	end error
	// complete is set after the event with Done; Close may run beside Next.
	complete atomic.Bool
}

func newTokenStream(c *client, body io.ReadCloser, cancel context.CancelFunc) *tokenStream {
	return &tokenStream{client: c, body: body, cancel: cancel, dec: json.NewDecoder(body)}
}

// Next implements TokenStream. An event of another request is returned as it
// came.
func (s *tokenStream) Next() (TokenEvent, error) {
	if s.end != nil {
		return TokenEvent{}, s.end
	}
	var event TokenEvent
	if err := s.dec.Decode(&event); err != nil {
		s.end = s.cut(err)
		return TokenEvent{}, s.end
	}
	if event.Done {
		s.end = io.EOF
		s.complete.Store(true)
	}
	return event, nil
}

// cut is the error of a stream that ended before an event with Done set.
func (s *tokenStream) cut(err error) *Error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{
		Kind:           KindUnavailable,
		Op:             opStream,
		OutcomeUnknown: true,
		Remedy:         "resume the stream from the last token's offset, or generate it on another engine",
		Err:            fmt.Errorf("stream cut before its end: %w", err),
	}
}

// Close implements TokenStream. It ends a stream that is not complete.
func (s *tokenStream) Close() error {
	if s.complete.Load() {
		s.drain()
	}
	s.cancel()
	return s.body.Close()
}

// drain reads the end of a complete answer's body, so that its connection can
// be used again.
func (s *tokenStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, s.body)
}
