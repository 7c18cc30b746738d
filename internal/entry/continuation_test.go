package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// streamOf writes text as a stream with the content type of those of events.
func streamOf(status int, contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// brokenAfter writes a stream of events that breaks off within the next one.
func brokenAfter(first, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", eventStream)
		events(first, last, false)(w, r)
	}
}

const eventStream = "text/event-stream"

func eventText(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", i, i)
	}
	return text.String()
}

// Guards against answers in the middle of a stream that are well-formed, have a good status and
// yet don't continue it: the stream must break off, or go on with the next event.
func TestAnswerThatDoesNotContinueTheStream(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{
		"nothing":                      streamOf(200, eventStream, ""),
		"no content":                   streamOf(204, eventStream, ""),
		"another status":               streamOf(202, eventStream, eventText(3, 5)),
		"error text":                   streamOf(200, "text/plain", "error: overloaded\n\n"),
		"error text as an event":       streamOf(200, eventStream, "error: overloaded\n\n"),
		"error as data":                streamOf(200, eventStream, "data: {\"error\":\"overloaded\"}\n\n"),
		"events of another type":       streamOf(200, "application/json", eventText(3, 5)),
		"from the start":               streamOf(200, eventStream, eventText(1, 5)),
		"the last event again":         streamOf(200, eventStream, eventText(2, 5)),
		"an event is missing":          streamOf(200, eventStream, eventText(4, 5)),
		"comments alone":               streamOf(200, eventStream, ": busy\n\n: busy\n\n"),
		"a head as an event":           streamOf(200, eventStream, "HTTP/1.1 503 Service Unavailable\nNot-Run: 1\n\n"),
		"a head before the next event": streamOf(200, eventStream, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n"+eventText(3, 5)),
		"an error status":              streamOf(500, "text/plain", "id: 3\ndata: failed\n\n"),
		"a refusal":                    refuse,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := brokenAfter(1, 2)
			// Both engines break off first, whichever is chosen.
			var turn countedTurns
			engines := []*upstream{
				newUpstream(t, "engine-1", turn.script(first, script)),
				newUpstream(t, "engine-2", turn.script(first, script)),
			}
			router := start(t, engines...)
			got := router.send(t, "/resume/a", "m", callerTimeout)
			is.Equal(engines[0].runs()+engines[1].runs(), 2)
			is.Equal(got.status, http.StatusOK)
			is.True(got.err != nil) // broken off, not ended
			is.Equal(got.body, eventText(1, 2))
		})
	}
}

// Comments may come before the event that continues a stream.
func TestCommentBeforeTheNextEvent(t *testing.T) {
	is := is.New(t)
	var turn countedTurns
	good := streamOf(200, eventStream+"; charset=utf-8", ": busy\n\n"+eventText(3, 5))
	router := start(t, newUpstream(t, "engine-1", turn.script(brokenAfter(1, 2), good)), newUpstream(t, "engine-2", turn.script(brokenAfter(1, 2), good)))
	got := router.send(t, "/resume/a", "m", callerTimeout)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 2)+": busy\n\n"+eventText(3, 5))
}

// The same for a stream that its caller resumes: it gets nothing that it has already.
func TestStreamResumedByItsCaller(t *testing.T) {
	for _, tc := range []struct {
		text   string
		status int
	}{{eventText(3, 5), 200}, {eventText(1, 5), 502}, {"error: overloaded\n\n", 502}} {
		is := is.New(t)
		router := start(t, newUpstream(t, "engine-1", streamOf(200, eventStream, tc.text)))
		req, err := http.NewRequest(http.MethodPost, router.url+"/resume/a", http.NoBody)
		is.NoErr(err)
		req.Header.Set("Id", "r-1")
		req.Header.Set("Model", "m")
		req.Header.Set("Last", "2")
		got := exchangeOnce(req, callerTimeout)
		is.NoErr(got.err)
		is.Equal(got.status, tc.status)
		if tc.status == http.StatusOK {
			is.Equal(got.body, tc.text)
		}
	}
}

// countedTurns runs scripts in turn over several upstreams, and the last one after that.
type countedTurns struct{ next atomic.Int32 }

func (c *countedTurns) script(scripts ...http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		scripts[min(int(c.next.Add(1)), len(scripts))-1](w, r)
	}
}
