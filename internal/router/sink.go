package router

import (
	"net/http"
	"strings"
)

// sink passes the tokens of an answer on to the caller.
type sink interface {
	// tokens takes the next tokens of the answer.
	tokens(text []string) *Error
	// end takes the end of a whole answer.
	end(finish string, total uint32) *Error
	// restart drops what was taken. It is called only while delivered is false.
	restart()
	// delivered reports whether a token may have reached the caller.
	delivered() bool
	// fail tells the caller, after delivered, that the answer is not whole.
	fail(err *Error)
}

// wholeSink buffers an answer until it is whole.
type wholeSink struct {
	x    *exchange
	head []byte
	text strings.Builder
}

func (s *wholeSink) tokens(text []string) *Error {
	for _, t := range text {
		s.text.WriteString(t)
	}
	return nil
}

func (s *wholeSink) end(finish string, total uint32) *Error {
	body := appendCompletion(nil, s.head, s.text.String(), finish, total)
	return s.x.writeWhole(http.StatusOK, "application/json", body)
}

func (s *wholeSink) restart()        { s.text.Reset() }
func (s *wholeSink) delivered() bool { return false }
func (s *wholeSink) fail(*Error)     {}

// eventSink sends each part of an answer as a server-sent event.
type eventSink struct {
	x    *exchange
	head []byte
	buf  []byte
}

func (s *eventSink) tokens(text []string) *Error {
	first := !s.x.started
	if first {
		s.begin()
	}
	joined := text[0]
	if len(text) > 1 {
		joined = strings.Join(text, "")
	}
	s.buf = appendEvent(s.buf[:0], s.head, first, joined)
	return s.flush()
}

func (s *eventSink) begin() {
	s.x.start()
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.x.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) end(finish string, _ uint32) *Error {
	if !s.x.started {
		s.begin()
	}
	s.buf = appendLastEvents(s.buf[:0], s.head, finish)
	return s.flush()
}

func (s *eventSink) flush() *Error {
	if _, err := s.x.w.Write(s.buf); err != nil {
		return callerGone(true)
	}
	if s.x.rc.Flush() != nil {
		return callerGone(true)
	}
	return nil
}

func (s *eventSink) restart()        {}
func (s *eventSink) delivered() bool { return s.x.started }

func (s *eventSink) fail(err *Error) {
	s.buf = appendErrorEvent(s.buf[:0], encodeError(s.x.id, err))
	_ = s.flush() // the caller may have gone
}
