package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logs has lines of two routers: the one that received the requests and the
// scheduler. Its first and last line are no log lines.
const logs = `
time=2026-12-04T04:00:01.000Z level=info msg=ordered service="pool lm" upstream=e-1 unload=false model=chat-v1 adapter="" for="request r-1" result=accepted
time=2026-12-04T04:00:02.500Z level=info msg=granted id=r-1 model=chat-v1 upstream=e-1 waited_ms=1600 waited_for="model load"
time=2026-12-04T04:00:03.000Z level=info msg=request id=r-1 outcome=served status=200 upstream=e-1 took_ms=2100 model=chat-v1 waited_ms=1600 waited_for="model load" first_byte_ms=1700 first_event_ms=90
time=2026-12-04T04:00:03.100Z level=info msg=refused id=r-2 reason="no room" retry_after_ms=500
time=2026-12-04T04:00:03.101Z level=info msg=request id=r-2 outcome=refused status=503 took_ms=4 model=chat-v1 reason="no room" retry_after_ms=500
time=2026-12-04T04:00:03.200Z level=info msg=request id=r-3 outcome=served status=200 took_ms=20 model=other-v1 first_byte_ms=12 first_event_ms=8
panic: something else
`

func readAll(t *testing.T) []Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(logs))
	if err != nil || skipped != 2 { // the empty first line and the last one
		t.Fatalf("%d lines, %d skipped, %v", len(lines), skipped, err)
	}
	return lines
}

func TestRequest(t *testing.T) {
	is := is.New(t)
	timeline, found := Request(readAll(t), "r-1")
	is.True(found)
	is.Equal(timeline.Steps, []string{
		"+0.100 s  ordered e-1 to load chat-v1: accepted",
		"+1.600 s  place on e-1 after 1600 ms, waited for model load",
		"+2.100 s  served with status 200 after 2100 ms by e-1, first byte after 1700 ms",
	})
	is.Equal(timeline.Cause, "model load")
	timeline, found = Request(readAll(t), "r-2")
	is.True(found)
	is.Equal(timeline.Cause, "refused: no room")
	_, found = Request(readAll(t), "r-9")
	is.True(!found)
}

// Guards against a request without a timeline because its router was killed before it
// logged the "request" line: only lines of its attempts exist.
func TestAttemptsAreListedWithoutRequestLine(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(`
time=2026-12-04T04:00:01.000Z level=info msg=sending id=r-4 send=1 upstream=e-1
time=2026-12-04T04:00:01.004Z level=info msg=sent id=r-4 send=1 upstream=e-1 result=refused status=503 conn=4 use=21 took_ms=4
time=2026-12-04T04:00:01.010Z level=info msg=sending id=r-4 send=2 upstream=e-1
`))
	is.NoErr(err)
	timeline, found := Request(lines, "r-4")
	is.True(found)
	is.Equal(timeline.Steps, []string{
		"+0.000 s  attempt 1 to e-1: refused with status 503 after 4 ms, connection 4, request 21 on it",
		"+0.006 s  attempt 2 to e-1; its result is not in these logs",
	})
}

func TestLate(t *testing.T) {
	is := is.New(t)
	report := Late(readAll(t), Filter{Above: time.Second})
	is.Equal(report.Requests, 3)
	is.Equal(report.Late, 2)
	is.Equal(report.Groups[0], Group{Cause: "model load", Count: 1, P50: 1700 * time.Millisecond, P99: 1700 * time.Millisecond, Max: 1700 * time.Millisecond, Slowest: []string{"r-1"}})
	is.Equal(report.Groups[1].Cause, "refused: no room")
	is.Equal(Late(readAll(t), Filter{Above: time.Second, Model: "other-v1"}).Late, 0)
	is.Equal(Late(readAll(t), Filter{Above: time.Second, Since: time.Date(2026, 12, 4, 4, 0, 3, 50e6, time.UTC)}).Late, 1)
}

func TestReadNamesMalformedLine(t *testing.T) {
	_, _, err := Read(strings.NewReader("time=x msg=\"open\n"))
	if err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Fatal(err)
	}
}

// A request waits for seconds, and its stream lasts longer still, as it should. Late is late
// by the first byte: what came after it is no cause.
func TestCauseIsBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(`
time=2026-12-04T04:00:08.000Z level=info msg=request id=r-5 outcome=served status=200 took_ms=8100 model=m waited_ms=3928 waited_for="turn at the engine" first_byte_ms=3979 first_event_ms=45
time=2026-12-04T04:00:09.000Z level=info msg=request id=r-6 outcome=served status=200 took_ms=2400 model=m waited_ms=3 first_byte_ms=1200 first_event_ms=1190
time=2026-12-04T04:00:10.000Z level=info msg=request id=r-7 outcome=served status=200 took_ms=900
time=2026-12-04T04:00:11.000Z level=info msg=request id=r-8 outcome=served status=200 took_ms=900 waited_ms=700 waited_for="limit of the upstream"
time=2026-12-04T04:00:12.000Z level=info msg=request id=r-9 outcome=served status=200 took_ms=900 waited_ms=200 waited_for="limit of the upstream"
`))
	is.NoErr(err)
	for id, cause := range map[string]string{"r-5": "turn at the engine", "r-6": "engine queue and prompt", "r-7": "answer", "r-8": "limit of the upstream", "r-9": "answer"} {
		timeline, found := Request(lines, id)
		is.True(found)
		is.Equal(timeline.Cause, cause)
	}
}
