package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseNotice(t *testing.T) {
	limited := func(rate float64) Notice { return Notice{Limited, rate} }
	for _, c := range []struct {
		values []string
		want   Notice
	}{
		{nil, Notice{}},
		{[]string{"2"}, limited(2)},
		{[]string{" 0.25 "}, limited(0.25)},
		{[]string{"0"}, limited(0)},
		{[]string{"1e300"}, limited(MaxPerSecond)},
		{[]string{""}, Notice{Kind: Unreadable}},
		{[]string{"NaN"}, Notice{Kind: Unreadable}},
		{[]string{"Inf"}, Notice{Kind: Unreadable}},
		{[]string{"1e999"}, Notice{Kind: Unreadable}},
		{[]string{"-1"}, Notice{Kind: Unreadable}},
		{[]string{"1, 2"}, Notice{Kind: Unreadable}},
		{[]string{"1", "2"}, Notice{Kind: Unreadable}},
		{[]string{"soon"}, Notice{Kind: Unreadable}},
	} {
		is.New(t).Equal(ParseNotice(c.values), c.want)
	}
}

// Responses arrive in any order, at several routers: an older one must not raise or end a limit.
func TestOlderStatementsDontReplaceNewerOnes(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	say := func(started int64, kind Kind, rate, asked, heard float64) Limit {
		return Limit{UpstreamID: "u", StartedMs: started, Statement: Statement{Notice: Notice{kind, rate}, AskedAt: at(asked), HeardAt: at(heard)}}
	}
	control := func(l Limit) Limit {
		l.Control = true
		return l
	}
	for name, c := range map[string]struct {
		said    []Limit
		want    float64
		limited bool
	}{
		"named":                           {[]Limit{say(1, Limited, 2, 0, 1)}, 2, true},
		"lowered":                         {[]Limit{say(1, Limited, 2, 0, 1), say(1, Limited, 1, 0.5, 1.5)}, 1, true},
		"raised by a later request":       {[]Limit{say(1, Limited, 2, 0, 1), say(1, Limited, 4, 1.1, 2)}, 4, true},
		"raised by an overlapping one":    {[]Limit{say(1, Limited, 2, 0, 1), say(1, Limited, 4, 0.5, 2)}, 2, true},
		"ended by a later request":        {[]Limit{say(1, Limited, 2, 0, 1), say(1, Unlimited, 0, 1.1, 2)}, 0, false},
		"ended by an overlapping one":     {[]Limit{say(1, Limited, 2, 0, 1), say(1, Unlimited, 0, 0.5, 2)}, 2, true},
		"old limit after the end":         {[]Limit{say(1, Limited, 2, 0, 1), say(1, Unlimited, 0, 3, 4), say(1, Limited, 2, 0, 2)}, 0, false},
		"control that never names it":     {[]Limit{say(1, Limited, 2, 0, 1), control(say(1, Unlimited, 0, 2, 3))}, 2, true},
		"ended by control that named it":  {[]Limit{control(say(1, Limited, 2, 0, 1)), control(say(1, Unlimited, 0, 2, 3))}, 0, false},
		"unreadable":                      {[]Limit{say(1, Limited, 2, 0, 1), say(1, Unreadable, 0, 2, 3)}, 2, true},
		"another incarnation without one": {[]Limit{say(1, Limited, 2, 0, 1), say(2, Unlimited, 0, 0.5, 0.9)}, 0, false},
		"late word of the one before":     {[]Limit{say(2, Limited, 2, 0, 1), say(1, Limited, 1, 2, 3)}, 2, true},
		"incarnation not known":           {[]Limit{say(1, Limited, 2, 0, 1), say(0, Limited, 1, 2, 3)}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			book := NewBook()
			for _, l := range c.said {
				book.Note(l)
			}
			limit, limited := book.Of("u")
			is.Equal(limited, c.limited)
			is.True(!limited || limit.PerSecond == c.want)
		})
	}
}
