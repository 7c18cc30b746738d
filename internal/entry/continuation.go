package entry

import (
	"bytes"
	"errors"
	"mime"
	"strconv"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

// errNotContinued means that a response has a good status and yet does not go on after the
// last event that the caller has.
var errNotContinued = errors.New("the upstream's response does not continue the stream")

// continuation checks that a response continues a stream: with the status and the content type
// of its first response, and with the event after the last one.
type continuation struct {
	cr *callerRequest
	// due is set until the event after the last one has arrived.
	due bool
}

// newContinuation returns the check of a response. Its error is errNotContinued if the head
// shows that the response is something else.
func (cr *callerRequest) newContinuation(resp *exchange.Response) (*continuation, error) {
	c := &continuation{cr: cr, due: cr.resumeAfter() != ""}
	if !cr.responseStarted {
		return c, nil
	}
	if resp.Status != cr.record.Status || mediaType(resp.Header.Get("Content-Type")) != mediaType(cr.w.Header().Get("Content-Type")) {
		return nil, errNotContinued
	}
	return c, nil
}

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	parsed, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return contentType // compared as it is
	}
	return parsed
}

// check returns errNotContinued if complete events are not those after the last one.
func (c *continuation) check(events []byte) error {
	for c.due && len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		if isComment(event) {
			continue
		}
		if !c.cr.follows(lastEventID(event)) {
			return errNotContinued
		}
		c.due = false
	}
	return nil
}

// end returns errNotContinued if a response ends before the event after the last one. Whether
// the stream was complete without it is not known.
func (c *continuation) end() error {
	if c.due && c.cr.responseStarted {
		return errNotContinued
	}
	return nil
}

// isComment reports whether an event has nothing but comments and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && !bytes.HasPrefix(line, fieldEnd) {
			return false
		}
	}
	return true
}

// follows reports whether an event with the id comes right after the last one. Ids that are no
// numbers only tell repetitions; those of a stream that counts by one leave no gap.
func (cr *callerRequest) follows(id string) bool {
	last := cr.resumeAfter()
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return id != "" && id != last
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil || number <= lastNumber {
		return false
	}
	first, err := strconv.ParseInt(cr.firstEventID, 10, 64)
	countsByOne := err == nil && lastNumber-first == int64(cr.record.Events-1)
	return number == lastNumber+1 || !countsByOne
}
