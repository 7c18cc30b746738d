package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const opStream = "engine stream"

// tokenStream reads an engine's answer, one JSON event a line.
type tokenStream struct {
	client *client
	body   io.ReadCloser
	cancel context.CancelFunc
	dec    *json.Decoder
	// end is what every further Next returns.
	end error
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

// Close implements TokenStream.
func (s *tokenStream) Close() error {
	s.cancel()
	return s.body.Close()
}
