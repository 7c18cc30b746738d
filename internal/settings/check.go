package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strings"
)

// checker collects the faults of one file.
type checker struct {
	// present holds the path of each field that the file sets.
	present map[string]bool
	// faulty holds the paths that already have a fault.
	faulty map[string]bool
	// unreadable is set when the file is no JSON object; nothing else is then
	// checked.
	unreadable bool
	faults     []Problem
}

func (c *checker) add(field, problem, remedy string) {
	c.faulty[field] = true
	c.faults = append(c.faults, Problem{Field: field, Problem: problem, Remedy: remedy})
}

func (c *checker) err(path string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Error{Path: path, Problems: c.faults}
}

// required reports whether the field has a value, and adds a fault if not.
func (c *checker) required(field, value, example string) bool {
	if c.faulty[field] {
		return false
	}
	if value == "" {
		c.add(field, "missing", "set it, for example to "+example)
		return false
	}
	return true
}

// address checks "IP:PORT". It reports false when the value can't be used.
func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	if !c.required(field, value, `"127.0.0.1:7000"`) {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(field, fmt.Sprintf("%q is no IP:PORT", value), "write the IP number of this host and a port, not a host name")
		return addr, false
	}
	if addr.Port() == 0 {
		c.add(field, "port 0 can't be reached by others", "choose a port from 1 to 65535")
		return addr, false
	}
	return addr, true
}

// baseURL checks "http://IP:PORT".
func (c *checker) baseURL(field, value string) {
	if !c.required(field, value, `"http://127.0.0.1:9000"`) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(field, fmt.Sprintf("%q is no http or https URL", value), `write it as "http://IP:PORT"`)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(field, fmt.Sprintf("%q is no IP number", u.Hostname()), "write the IP number in place of the host name")
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		c.add(field, "must hold no path or query", `keep only "http://IP:PORT"`)
	}
}

// within checks the bounds of a whole number.
func (c *checker) within(field string, value, low, high uint32) {
	if c.faulty[field] || (value >= low && value <= high) {
		return
	}
	c.add(field, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("choose a number from %d to %d", low, high))
}

// share checks a number from 0 to 1.
func (c *checker) share(field string, value float64) {
	if c.faulty[field] || (value >= 0 && value <= 1 && !math.IsNaN(value)) {
		return
	}
	c.add(field, fmt.Sprintf("%g is out of range", value), "choose a share from 0 to 1")
}

// oneOf checks a word against a list.
func (c *checker) oneOf(field, value string, words ...string) {
	if c.faulty[field] {
		return
	}
	for _, word := range words {
		if value == word {
			return
		}
	}
	c.add(field, fmt.Sprintf("%q is not known", value), "choose one of "+strings.Join(words, ", "))
}
