package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

const (
	// maxBuffered is the largest plain answer that is read whole before it is
	// passed on; larger ones are passed on as they arrive.
	maxBuffered = 1 << 20
	relayBuffer = 16 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// errCut means that an upstream's answer ended before it was whole.
var errCut = errors.New("the upstream's answer broke off")

// errEncoded means that an answer is not the upstream's body.
var errEncoded = errors.New("the upstream's answer is encoded, which nobody asked for")

// isPromise reports whether a status says that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readWhole reads a plain answer. whole is false when it is too large and was
// not read to its end; a broken one gives an error.
func readWhole(resp *exchange.Response) (body []byte, whole bool, err error) {
	if resp.Header.Get("Content-Encoding") != "" {
		return nil, false, errEncoded
	}
	body, err = io.ReadAll(io.LimitReader(resp, maxBuffered))
	if err != nil {
		return nil, false, err
	}
	if len(body) < maxBuffered {
		return body, true, nil
	}
	return body, false, nil
}

// copyHead writes the head of an upstream's answer. length is -1 if unknown.
func (j *job) copyHead(resp *exchange.Response, length int64) {
	h := j.w.Header()
	id := h.Get(j.front.dialect.IDHeader())
	closing := h.Get("Connection")
	for name, values := range endToEnd(resp.Header) {
		h[name] = values
	}
	h.Set(j.front.dialect.IDHeader(), id)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.begun = true
	j.record.Status = resp.Status
	j.record.FirstByte = time.Since(j.arrived)
	j.w.WriteHeader(resp.Status)
}

// relayPlain passes a plain answer on. It reports an error only while nothing
// has reached the caller; later failures break the caller's connection.
func (j *job) relayPlain(resp *exchange.Response) error {
	body, whole, err := readWhole(resp)
	if err != nil {
		return err
	}
	if whole {
		j.copyHead(resp, int64(len(body)))
		_, _ = j.w.Write(body) // a caller that left gets nothing
		return nil
	}
	j.copyHead(resp, resp.Length)
	if _, err := j.w.Write(body); err != nil {
		j.fail("the caller does not read")
	}
	if _, err := io.CopyBuffer(j.w, resp, make([]byte, relayBuffer)); err != nil {
		j.fail("answer broke off: " + err.Error())
	}
	return nil
}

// relayStream passes whole events on as they arrive. onFirst is called at the
// first one. A nil error means that the stream ended as the upstream meant it.
func (j *job) relayStream(resp *exchange.Response, onFirst func()) error {
	if resp.Header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	flusher, _ := j.w.(http.Flusher)
	buffer := make([]byte, relayBuffer)
	var pending []byte
	first := true
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			if first {
				onFirst()
				first = false
			}
			if writeErr := j.writeEvents(resp, pending[:end], flusher); writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if errors.Is(err, io.EOF) {
			return j.endStream(resp, pending)
		}
		if err != nil {
			return err
		}
		if len(pending) > maxEvent {
			return errors.New("an event of the upstream is too large")
		}
	}
}

func (j *job) endStream(resp *exchange.Response, rest []byte) error {
	if len(rest) > 0 {
		return errCut
	}
	if !j.begun {
		j.copyHead(resp, resp.Length)
	}
	return nil
}

func (j *job) writeEvents(resp *exchange.Response, events []byte, flusher http.Flusher) error {
	if !j.begun {
		j.copyHead(resp, -1)
	}
	if _, err := j.w.Write(events); err != nil {
		return err
	}
	if flusher != nil {
		flusher.Flush()
	}
	if id := lastEventID(events); id != "" {
		j.lastEvent = id
	}
	now := time.Now()
	if !j.lastEventAt.IsZero() {
		j.record.MaxGap = max(j.record.MaxGap, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
	j.record.Events += bytes.Count(events, eventEnd)
	return nil
}

var eventEnd = []byte("\n\n")

// lastEventEnd returns the end of the last whole event.
func lastEventEnd(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	lines := strings.Split(string(events), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := strings.CutPrefix(lines[i], "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}
