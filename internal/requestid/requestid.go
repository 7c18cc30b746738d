// Package requestid makes the ids of requests. An id names the router that took
// the request and the minute at which it did, so that the request's wait record
// is found without an index.
package requestid

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const base = 36

// ID is the parsed form of a request id.
type ID struct {
	Router string
	// Minute counts minutes since the Unix epoch.
	Minute int64
	// Serial is unique for the router and the minute.
	Serial string
}

// String formats the id as "ROUTER.MINUTE.SERIAL".
func (id ID) String() string {
	return id.Router + "." + strconv.FormatInt(id.Minute, base) + "." + id.Serial
}

// Parse reads an id. The router's name may hold dots.
func Parse(s string) (ID, error) {
	rest, serial, ok := cutLast(s)
	router, minuteText, ok2 := cutLast(rest)
	if !ok || !ok2 || router == "" || serial == "" {
		return ID{}, badID(s)
	}
	minute, err := strconv.ParseInt(minuteText, base, 64)
	if err != nil {
		return ID{}, badID(s)
	}
	return ID{Router: router, Minute: minute, Serial: serial}, nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func badID(s string) error {
	return fmt.Errorf("%q is no request id: copy the Ragwortdoor-Request-Id header of the answer", s)
}

// Generator makes the ids of one router process.
type Generator struct {
	router string
	boot   string // tells this process from earlier ones on the same host
	next   atomic.Uint64
}

// NewGenerator makes a generator for a router's host id.
func NewGenerator(router string) *Generator {
	return &Generator{router: router, boot: strconv.FormatUint(uint64(rand.Uint32()), base)}
}

// New makes the id of a request that arrived at now.
func (g *Generator) New(now time.Time) ID {
	serial := g.boot + "-" + strconv.FormatUint(g.next.Add(1), base)
	return ID{Router: g.router, Minute: Minute(now), Serial: serial}
}

// Minute counts the minutes between the Unix epoch and t.
func Minute(t time.Time) int64 { return t.Unix() / 60 }
