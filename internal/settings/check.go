package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strings"
)

// checker collects the problems of one settings file.
type checker struct {
	// present holds the path of each field that occurs in the file.
	present map[string]bool
	// invalid holds the paths that already have a problem.
	invalid map[string]bool
	// malformed is set when the file is not a JSON object; its fields are then not
	// checked.
	malformed bool
	problems  []Problem
}

func (c *checker) add(field, problem, remedy string) {
	c.invalid[field] = true
	c.problems = append(c.problems, Problem{Field: field, Problem: problem, Remedy: remedy})
}

func (c *checker) err(path string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Path: path, Problems: c.problems}
}

// required reports whether the field has a usable value. It adds a problem for a
// missing one.
func (c *checker) required(field, value, example string) bool {
	if c.invalid[field] {
		return false
	}
	if value == "" {
		c.add(field, "missing", "set it, for example to "+example)
		return false
	}
	return true
}

// address parses "IP:PORT". The result is false when the value is invalid.
func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	if !c.required(field, value, `"127.0.0.1:7000"`) {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(field, fmt.Sprintf("%q is not of the form IP:PORT", value), "write the IP address of this host and a port, not a host name")
		return addr, false
	}
	if addr.Port() == 0 {
		c.add(field, "port 0 can't be reached by others", "choose a port from 1 to 65535")
		return addr, false
	}
	return addr, true
}

// baseURL checks that a value has the form "http://IP:PORT" or "https://IP:PORT".
func (c *checker) baseURL(field, value string) {
	if !c.required(field, value, `"http://127.0.0.1:9000"`) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(field, fmt.Sprintf("%q is not an http or https URL", value), `write it as "http://IP:PORT"`)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(field, fmt.Sprintf("%q is not an IP address", u.Hostname()), "write the IP address in place of the host name")
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		c.add(field, "must not have a path or query", `keep only "http://IP:PORT"`)
	}
}

// inRange checks that a value is from low to high.
func (c *checker) inRange(field string, value, low, high uint32) {
	if c.invalid[field] || (value >= low && value <= high) {
		return
	}
	c.add(field, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("choose a number from %d to %d", low, high))
}

// inRangeIfSet checks a number that stands for a default if it is 0.
func (c *checker) inRangeIfSet(field string, value, low, high uint32) {
	if value != 0 {
		c.inRange(field, value, low, high)
	}
}

// fraction checks that a value is from 0 to 1.
func (c *checker) fraction(field string, value float64) {
	if c.invalid[field] || (value >= 0 && value <= 1 && !math.IsNaN(value)) {
		return
	}
	c.add(field, fmt.Sprintf("%g is out of range", value), "choose a fraction from 0 to 1")
}

// oneOf checks that a value is one of words.
func (c *checker) oneOf(field, value string, words ...string) {
	if c.invalid[field] {
		return
	}
	for _, word := range words {
		if value == word {
			return
		}
	}
	c.add(field, fmt.Sprintf("%q is not known", value), "choose one of "+strings.Join(words, ", "))
}
