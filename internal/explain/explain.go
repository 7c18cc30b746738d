// Package explain reads the log lines of routers and tells why a request waited
// or failed.
package explain

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Kinds of line, as internal/entry writes them.
const (
	kindRequest = "request"
	kindGranted = "granted"
	kindRefused = "refused"
	kindOrdered = "ordered"
	kindSending = "sending"
	kindSent    = "sent"

	outcomeServed = "served"
)

// Line is one log line.
type Line struct {
	At     time.Time
	Kind   string
	Fields map[string]string
}

// Read reads log lines. Text that is no log line is left out and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	decoder := logfmt.NewDecoder(r)
	for decoder.ScanRecord() {
		line := Line{Fields: make(map[string]string)}
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
		at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
		if err != nil || line.Fields["msg"] == "" {
			skipped++
			continue
		}
		line.At, line.Kind = at, line.Fields["msg"]
		lines = append(lines, line)
	}
	var syntax *logfmt.SyntaxError
	if errors.As(decoder.Err(), &syntax) {
		return lines, skipped, fmt.Errorf("line %d is no log line: %w (name files with the standard output of routers)", syntax.Line, syntax)
	}
	return lines, skipped, decoder.Err()
}

// milliseconds reads a duration field; one that is missing counts as 0.
func (l Line) milliseconds(field string) time.Duration {
	ms, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0 // the field is left out where it does not apply
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// arrived is when the request of a request line arrived.
func (l Line) arrived() time.Time { return l.At.Add(-l.milliseconds("took_ms")) }

// Timeline is what the logs tell of a request.
type Timeline struct {
	ID    string   `json:"id"`
	Steps []string `json:"steps"`
	Cause string   `json:"main_cause"`
}

// Request tells the story of a request; false if no line names it. The time of
// a step is that of the host that wrote it.
func Request(lines []Line, id string) (Timeline, bool) {
	mine := linesOf(lines, id)
	if len(mine) == 0 {
		return Timeline{}, false
	}
	story := Timeline{ID: id, Cause: "the request's own line is not in these logs"}
	start := mine[0].At
	for _, l := range mine {
		if l.Kind == kindRequest {
			start = l.arrived()
			story.Cause = cause(l)
		}
	}
	for _, l := range mine {
		story.Steps = append(story.Steps, fmt.Sprintf("%+.3f s  %s", l.At.Sub(start).Seconds(), describe(l)))
	}
	return story, true
}

func linesOf(lines []Line, id string) []Line {
	var mine []Line
	for _, l := range lines {
		if l.Fields["id"] == id && l.Kind != "upstream" || l.Kind == kindOrdered && l.Fields["for"] == "request "+id {
			mine = append(mine, l)
		}
	}
	slices.SortStableFunc(mine, func(a, b Line) int { return a.At.Compare(b.At) })
	return withoutEndedSendings(mine)
}

// withoutEndedSendings leaves out the begins of a request's sendings whose ends are
// told.
func withoutEndedSendings(mine []Line) []Line {
	ended := make(map[string]bool)
	for _, l := range mine {
		if l.Kind == kindSent {
			ended[l.Fields["send"]] = true
		}
	}
	return slices.DeleteFunc(mine, func(l Line) bool { return l.Kind == kindSending && ended[l.Fields["send"]] })
}

func describe(l Line) string {
	f := l.Fields
	switch l.Kind {
	case kindGranted:
		return fmt.Sprintf("place on %s after %s ms%s", f["upstream"], f["waited_ms"], after(", waited for ", f["waited_for"]))
	case kindRefused:
		return fmt.Sprintf("no place: %s; come back in %s ms", f["reason"], f["retry_after_ms"])
	case kindOrdered:
		what := "load"
		if f["unload"] == "true" {
			what = "unload"
		}
		return fmt.Sprintf("ordered %s to %s %s%s: %s", f["upstream"], what, f["model"], after(":", f["adapter"]), f["result"])
	case kindSending:
		return fmt.Sprintf("sending %s to %s; what became of it is not in these logs", f["send"], f["upstream"])
	case kindSent:
		return fmt.Sprintf("sending %s to %s: %s with status %s after %s ms, connection %s, its request %s", f["send"], f["upstream"], f["result"], f["status"], f["took_ms"], f["conn"], f["use"])
	case kindRequest:
		return describeEnd(l)
	}
	return l.Kind + after(": ", f["reason"])
}

func describeEnd(l Line) string {
	f := l.Fields
	text := fmt.Sprintf("%s with status %s after %s ms%s", f["outcome"], f["status"], f["took_ms"], after(" by ", f["upstream"]))
	if ms := f["first_byte_ms"]; ms != "" && ms != "0" {
		text += ", first byte after " + ms + " ms"
	}
	if f["alone"] == "true" {
		text += ", placed without a scheduler"
	}
	return text + after(": ", f["reason"])
}

// after returns text behind a lead, or nothing without a text.
func after(lead, text string) string {
	if text == "" {
		return ""
	}
	return lead + text
}

// cause names what took the longest part of a request, or why it was not served.
func cause(l Line) string {
	if outcome := l.Fields["outcome"]; outcome != outcomeServed {
		return outcome + after(": ", reasonKind(l.Fields["reason"]))
	}
	waited := l.milliseconds("waited_ms")
	engine := l.milliseconds("first_event_ms")
	answer := l.milliseconds("took_ms") - l.milliseconds("first_byte_ms")
	switch max(waited, engine, answer) {
	case waited:
		if reason := l.Fields["waited_for"]; reason != "" {
			return reason
		}
		return "place"
	case engine:
		return "engine queue and prompt"
	}
	return "answer"
}

// reasonKind leaves out what differs between failures of one kind.
func reasonKind(reason string) string {
	kind, _, _ := strings.Cut(reason, ":")
	return kind
}
