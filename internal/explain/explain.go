// Package explain reconstructs from router logs why a request waited or failed.
// It reads the logfmt lines that internal/entry writes.
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

// Kinds of log line, as internal/entry writes them under the key "msg".
const (
	kindRequest        = "request"
	kindGranted        = "granted"
	kindRefused        = "refused"
	kindOrdered        = "ordered"
	kindAttemptStarted = "sending"
	kindAttemptEnded   = "sent"

	outcomeServed = "served"
)

// Line is one log line.
type Line struct {
	At     time.Time
	Kind   string            // value of "msg"
	Fields map[string]string // all keys of the line, with "time" and "msg"
}

// Read parses log lines from r. It skips and counts records without a valid "time"
// or without "msg", and returns an error for text that is not logfmt.
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

// milliseconds parses a duration field; a missing or malformed field is 0.
func (l Line) milliseconds(field string) time.Duration {
	ms, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0 // lines omit fields that do not apply
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// arrived returns the arrival time of the request that a "request" line ends.
func (l Line) arrived() time.Time { return l.At.Add(-l.milliseconds("took_ms")) }

// Timeline lists the logged steps of a request, in the order of their times.
type Timeline struct {
	ID    string   `json:"id"`
	Steps []string `json:"steps"`
	Cause string   `json:"main_cause"`
}

// Request returns the timeline of the request id; false if no line names it. Each
// step has the clock of the host that logged it, so steps of different hosts may
// be out of order by their clock skew.
func Request(lines []Line, id string) (Timeline, bool) {
	matching := linesOf(lines, id)
	if len(matching) == 0 {
		return Timeline{}, false
	}
	timeline := Timeline{ID: id, Cause: "the request's own line is not in these logs"}
	start := matching[0].At
	for _, l := range matching {
		if l.Kind == kindRequest {
			start = l.arrived()
			timeline.Cause = cause(l)
		}
	}
	for _, l := range matching {
		timeline.Steps = append(timeline.Steps, fmt.Sprintf("%+.3f s  %s", l.At.Sub(start).Seconds(), describe(l)))
	}
	return timeline, true
}

// linesOf returns the lines about a request, sorted by time. It skips "upstream"
// lines, whose id names an upstream.
func linesOf(lines []Line, id string) []Line {
	var matching []Line
	for _, l := range lines {
		if l.Fields["id"] == id && l.Kind != "upstream" || l.Kind == kindOrdered && l.Fields["for"] == "request "+id {
			matching = append(matching, l)
		}
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.At.Compare(b.At) })
	return withoutEndedAttempts(matching)
}

// withoutEndedAttempts removes the start line of each attempt that also has an
// end line.
func withoutEndedAttempts(matching []Line) []Line {
	ended := make(map[string]bool)
	for _, l := range matching {
		if l.Kind == kindAttemptEnded {
			ended[l.Fields["send"]] = true
		}
	}
	return slices.DeleteFunc(matching, func(l Line) bool { return l.Kind == kindAttemptStarted && ended[l.Fields["send"]] })
}

func describe(l Line) string {
	f := l.Fields
	switch l.Kind {
	case kindGranted:
		return fmt.Sprintf("place on %s after %s ms%s", f["upstream"], f["waited_ms"], withPrefix(", waited for ", f["waited_for"]))
	case kindRefused:
		return fmt.Sprintf("no place: %s; retry after %s ms", f["reason"], f["retry_after_ms"])
	case kindOrdered:
		action := "load"
		if f["unload"] == "true" {
			action = "unload"
		}
		return fmt.Sprintf("ordered %s to %s %s%s: %s", f["upstream"], action, f["model"], withPrefix(":", f["adapter"]), f["result"])
	case kindAttemptStarted:
		return fmt.Sprintf("attempt %s to %s; its result is not in these logs", f["send"], f["upstream"])
	case kindAttemptEnded:
		return fmt.Sprintf("attempt %s to %s: %s with status %s after %s ms, connection %s, request %s on it", f["send"], f["upstream"], f["result"], f["status"], f["took_ms"], f["conn"], f["use"])
	case kindRequest:
		return describeEnd(l)
	}
	return l.Kind + withPrefix(": ", f["reason"])
}

func describeEnd(l Line) string {
	f := l.Fields
	text := fmt.Sprintf("%s with status %s after %s ms%s", f["outcome"], f["status"], f["took_ms"], withPrefix(" by ", f["upstream"]))
	if ms := f["first_byte_ms"]; ms != "" && ms != "0" {
		text += ", first byte after " + ms + " ms"
	}
	if ms := f["quota_waited_ms"]; ms != "" && ms != "0" {
		text += fmt.Sprintf(", of workspace %s, for whose quota it waited %s ms", f["workspace"], ms)
	}
	if f["alone"] == "true" {
		text += ", placed without a scheduler"
	}
	return text + withPrefix(": ", f["reason"])
}

// withPrefix returns prefix and text, or "" if text is empty.
func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

// cause returns the longest phase of a served request before its first byte, or the
// outcome and the kind of reason of one that was not served.
func cause(l Line) string {
	if outcome := l.Fields["outcome"]; outcome != outcomeServed {
		return outcome + withPrefix(": ", reasonKind(l.Fields["reason"]))
	}
	waited := l.milliseconds("waited_ms")
	queueAndPrompt := l.milliseconds("first_event_ms")
	quota := l.milliseconds("quota_waited_ms")
	switch {
	case quota > max(waited, queueAndPrompt) && 2*quota > l.milliseconds("took_ms"):
		return quotaCause
	case l.milliseconds("first_byte_ms") == 0 && l.Fields["waited_for"] != "" && 2*waited > l.milliseconds("took_ms"):
		return l.Fields["waited_for"]
	case l.milliseconds("first_byte_ms") == 0:
		return "answer" // not a request for a model
	case queueAndPrompt > waited:
		return "engine queue and prompt"
	case l.Fields["waited_for"] != "":
		return l.Fields["waited_for"]
	}
	return "place"
}

// reasonKind returns the reason up to the first colon; details that differ between
// failures of one kind follow it.
func reasonKind(reason string) string {
	kind, _, _ := strings.Cut(reason, ":")
	return kind
}
