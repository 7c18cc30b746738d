package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

const (
	// maxBufferedBytes limits the plain responses that are read completely before they
	// are relayed; larger ones are relayed as they arrive.
	maxBufferedBytes = 1 << 20
	relayBufferBytes = 16 << 10
	// maxEventBytes limits one event of a stream, which is collected before it is
	// relayed.
	maxEventBytes = 256 << 10
)

// errTruncated means that a stream ended within an event, or by the end of its connection
// before the first one.
var errTruncated = errors.New("the upstream's response ended within an event or without any")

// errEventTooLarge means that a stream sends bytes that never become an event.
var errEventTooLarge = fmt.Errorf("an event of the upstream's response is larger than %d bytes", maxEventBytes)

// errNoEvent means that a stream contains bytes that are not an event.
var errNoEvent = errors.New("the upstream's response contains bytes that are not an event")

// errEncoded means that a response has a Content-Encoding: its bytes are not the upstream's
// own body.
var errEncoded = errors.New("the upstream's response has a Content-Encoding that was not requested")

// impliesNotRun reports whether a status tells the caller that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readBuffered reads a plain response. complete is false if the response is too large and
// was not read to its end. A truncated response gives an error.
func readBuffered(resp *exchange.Response) (body []byte, complete bool, err error) {
	if resp.Header.Get("Content-Encoding") != "" {
		return nil, false, errEncoded
	}
	body, err = io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		return nil, false, err
	}
	if len(body) < maxBufferedBytes {
		return body, true, nil
	}
	return body, false, nil
}

// writeHead writes the head of an upstream's response to the caller. length is the
// length of the body in bytes, -1 if unknown.
func (cr *callerRequest) writeHead(resp *exchange.Response, length int64) {
	h := cr.w.Header()
	id := h.Get(cr.handler.dialect.IDHeader())
	closing := h.Get("Connection")
	for name, values := range endToEnd(resp.Header) {
		h[name] = values
	}
	h.Set(cr.handler.dialect.IDHeader(), id)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	cr.responseStarted = true
	cr.record.Status = resp.Status
	cr.record.FirstByte = time.Since(cr.arrivedAt)
	cr.w.WriteHeader(resp.Status)
}

// relayPlain relays a plain response. It returns an error only if nothing was written to
// the caller yet; later failures abort the caller's connection.
func (cr *callerRequest) relayPlain(resp *exchange.Response) error {
	body, complete, err := readBuffered(resp)
	if err != nil {
		return err
	}
	cr.holdResponse(int64(len(body)))
	if complete {
		cr.writeHead(resp, int64(len(body)))
		_, _ = cr.writer().Write(body) // fails only if the caller disconnected
		return nil
	}
	cr.writeHead(resp, resp.Length)
	if _, err := cr.writer().Write(body); err != nil {
		cr.fail("the caller does not read")
	}
	if _, err := io.CopyBuffer(cr.writer(), resp, make([]byte, relayBufferBytes)); err != nil {
		cr.fail("answer broke off: " + err.Error())
	}
	return nil
}

// relayStream relays complete events as they arrive. onFirst is called before the first
// one is written. A nil error means that the stream ended properly.
func (cr *callerRequest) relayStream(resp *exchange.Response, onFirst func()) error {
	if resp.Header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	continuation, err := cr.newContinuation(resp)
	if err != nil {
		return err
	}
	cr.holdResponse(relayBufferBytes)
	buffer := make([]byte, relayBufferBytes)
	var pending []byte
	first := true
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		end, eventErr := completeEvents(pending)
		if err := continuation.check(pending[:end]); err != nil {
			return err
		}
		if end > 0 && !continuation.due {
			cr.stall.event()
			if first {
				onFirst()
				first = false
			}
			if writeErr := cr.writeEvents(resp, pending[:end]); writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if eventErr != nil {
			return eventErr
		}
		if errors.Is(err, io.EOF) {
			if first && !resp.Delimited {
				return errTruncated // the connection may have ended for any reason
			}
			if err := continuation.end(); err != nil {
				return err
			}
			return cr.endStream(resp, pending)
		}
		if err != nil {
			return err
		}
		if len(pending) > maxEventBytes {
			return errEventTooLarge
		}
	}
}

// endStream ends a response after its last event; rest is what follows that event.
func (cr *callerRequest) endStream(resp *exchange.Response, rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 || len(rest) > 0 && !bytes.HasSuffix(rest, eventEnd) {
		return errTruncated
	}
	if len(rest) > 0 {
		return cr.writeEvents(resp, rest) // empty lines
	}
	if !cr.responseStarted {
		cr.writeHead(resp, resp.Length)
	}
	return nil
}

func (cr *callerRequest) writeEvents(resp *exchange.Response, events []byte) error {
	if !cr.responseStarted {
		cr.writeHead(resp, -1)
	}
	if err := cr.writer().writeNow(events); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		cr.lastEventID = id
	}
	now := time.Now()
	if cr.lastEventAt.IsZero() {
		first, _, _ := bytes.Cut(events, eventEnd)
		cr.firstEventID = lastEventID(first)
		cr.firstEventAt = now
	} else {
		cr.record.MaxGap = max(cr.record.MaxGap, now.Sub(cr.lastEventAt))
	}
	cr.lastEventAt = now
	cr.record.Events += bytes.Count(events, eventEnd)
	return nil
}

// minIntervalEvents is the number of events from which their mean interval is reported.
const minIntervalEvents = 4

// eventInterval returns the mean time between the events of a response from a single
// attempt, 0 if there were few.
func (cr *callerRequest) eventInterval() time.Duration {
	if cr.attempts > 1 || cr.record.Events < minIntervalEvents {
		return 0
	}
	return cr.lastEventAt.Sub(cr.firstEventAt) / time.Duration(cr.record.Events-1)
}

var (
	eventEnd = []byte("\n\n")
	fieldEnd = []byte(":")
)

// completeEvents returns the index after the last complete event, 0 if there is none.
// Empty lines count only in front of an event. The error is errNoEvent if it is followed by
// complete lines that are no event's, such as a line of text or the head of a response.
func completeEvents(b []byte) (end int, err error) {
	for at := 0; ; {
		length := bytes.Index(b[at:], eventEnd)
		if length < 0 {
			return end, nil
		}
		event := b[at : at+length]
		at += length + len(eventEnd)
		switch {
		case len(bytes.TrimSpace(event)) == 0:
		case !hasOnlyFields(event):
			return end, errNoEvent
		default:
			end = at
		}
	}
}

// hasOnlyFields reports whether each line of an event is empty, a comment or has a field name
// of letters, digits, hyphens and underscores in front of a colon.
func hasOnlyFields(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimSpace(line)
		name, _, found := bytes.Cut(line, fieldEnd)
		if len(line) > 0 && !found || bytes.ContainsFunc(name, isNoFieldName) {
			return false
		}
	}
	return true
}

func isNoFieldName(r rune) bool {
	isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !isLetter && (r < '0' || r > '9') && r != '-' && r != '_'
}

// lastEventID returns the id of the last event that has one, "" if none has.
func lastEventID(events []byte) string {
	lines := strings.Split(string(events), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := strings.CutPrefix(lines[i], "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}
