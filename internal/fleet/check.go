package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Limits of what an upstream can say about itself. Beyond them something else wrote it, and
// one value could outrank all that the upstream says later.
const (
	maxSlots = 1 << 20
	// maxCount limits the heartbeats and the orders of one incarnation.
	maxCount = 1 << 40
	// maxStartedMs is the end of the year 2099, in Unix milliseconds.
	maxStartedMs = 4_102_444_799_999
	maxRemovedIn = 365 * 24 * time.Hour
	// maxConfigTime limits the times of routes and models.
	maxConfigTime = 365 * 24 * time.Hour
	// maxTokens limits the memory of an engine for prompts, maxMemoryMB that for weights.
	maxTokens       = 1 << 40
	maxMemoryMB     = 1 << 40
	maxAttempts     = 1 << 10
	maxPriority     = 1 << 20
	maxWeight       = 1 << 20
	maxLoadsPerS    = 1 << 20
	maxAdapterSlots = 1 << 20
)

// numberCheck is a value with the limits that it must be within, 0 to max.
type numberCheck struct {
	name       string
	value, max int64
}

func checkNumbers(of string, checks ...numberCheck) error {
	for _, c := range checks {
		if c.value < 0 || c.value > c.max {
			return fmt.Errorf("%s: %s %d is not from 0 to %d", of, c.name, c.value, c.max)
		}
	}
	return nil
}

// Check returns an error if a registration decodes and yet names no upstream that can be used.
func (u *Upstream) Check() error {
	if err := checkID(u.ID); err != nil {
		return err
	}
	if u.Service == "" {
		return fmt.Errorf("registration %q names no service", u.ID)
	}
	if err := checkAddr(u.Addr); err != nil {
		return fmt.Errorf("registration %q: %w", u.ID, err)
	}
	err := checkNumbers(fmt.Sprintf("registration %q", u.ID),
		numberCheck{"slots", int64(u.Slots), maxSlots},
		numberCheck{"sequence number", u.Sequence, maxCount},
		numberCheck{"start time in ms", u.StartedMs, maxStartedMs},
		numberCheck{"time to its removal in ns", int64(u.RemovedIn), int64(maxRemovedIn)})
	if err != nil {
		return err
	}
	return checkModels(u.Models)
}

// Check returns an error if a route decodes and yet can't be followed.
func (r *Route) Check() error {
	name := fmt.Sprintf("route %q", r.Name)
	if !r.hasPrefix() {
		return fmt.Errorf("%s: prefix %q does not begin and end with a slash", name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fmt.Errorf("%s names no service", name)
	}
	for _, t := range r.Targets {
		if t.Service == "" {
			return fmt.Errorf("%s has a target without a service", name)
		}
		if err := checkNumbers(name, numberCheck{"weight", int64(t.Weight), maxWeight}); err != nil {
			return err
		}
	}
	return checkNumbers(name,
		numberCheck{"attempts", int64(r.Attempts), maxAttempts},
		numberCheck{"priority", int64(r.Priority), maxPriority},
		numberCheck{"timeout in ns", int64(r.Timeout), int64(maxConfigTime)},
		numberCheck{"objective in ns", int64(r.Objective), int64(maxConfigTime)},
		numberCheck{"longest gap in ns", int64(r.MaxGap), int64(maxConfigTime)})
}

func (r *Route) hasPrefix() bool {
	return strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")
}

// Closed returns what stands in for a route that is not valid: requests to it are refused, and
// don't go to a route with a shorter prefix. ok is false if not even its prefix is known.
func (r *Route) Closed() (closed Route, ok bool) {
	return Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Attempts: 1}, r.hasPrefix()
}

// Check returns an error if an engine's description can't be that of an engine. Its models are
// checked apart.
func (s *EngineSpec) Check() error {
	if !(s.RemoteLoadsPerSecond >= 0 && s.RemoteLoadsPerSecond <= maxLoadsPerS) {
		return fmt.Errorf("engine: %g loads a second are not from 0 to %d", s.RemoteLoadsPerSecond, maxLoadsPerS)
	}
	return checkNumbers("engine",
		numberCheck{"slots", int64(s.Slots), maxSlots},
		numberCheck{"tokens", s.KVTokens, maxTokens},
		numberCheck{"memory in MB", s.MemoryMB, maxMemoryMB},
		numberCheck{"adapter slots", int64(s.AdapterSlots), maxAdapterSlots})
}

// Check returns an error if a model can't be loaded: a wrong size would overcommit an engine.
func (m *Model) Check() error {
	if m.Name == "" {
		return errors.New("a model has no name")
	}
	return checkNumbers(fmt.Sprintf("model %q", m.Name),
		numberCheck{"memory in MB", m.MemoryMB, maxMemoryMB},
		numberCheck{"adapter size in MB", m.AdapterMB, maxMemoryMB},
		numberCheck{"load time from the store in ns", int64(m.RemoteLoad), int64(maxConfigTime)},
		numberCheck{"load time from disk in ns", int64(m.DiskLoad), int64(maxConfigTime)},
		numberCheck{"load time from memory in ns", int64(m.MemoryLoad), int64(maxConfigTime)})
}

// Check returns an error if an inventory decodes and yet can't be an engine's.
func (i *Inventory) Check() error {
	if i.Orders < 0 || i.Orders > maxCount {
		return fmt.Errorf("inventory counts %d orders, not from 0 to %d", i.Orders, int64(maxCount))
	}
	if i.StartedMs < 0 || i.StartedMs > maxStartedMs {
		return fmt.Errorf("inventory has start time %d ms, not from 0 to %d", i.StartedMs, int64(maxStartedMs))
	}
	return checkModels(i.Models)
}

// checkID reports an id that can't be sent in a header.
func checkID(id string) error {
	if id == "" {
		return fmt.Errorf("registration has no id")
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return fmt.Errorf("registration id %q has a character other than visible ASCII", id)
		}
	}
	return nil
}

func checkAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("address %q is not IP:PORT: %w", addr, err)
	}
	ip := parsed.Addr()
	if parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return fmt.Errorf("address %q is not that of a host: write a unicast IP without a zone, and a port", addr)
	}
	return nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func checkModels(models []LoadedModel) error {
	for i, m := range models {
		if m.Name == "" {
			return fmt.Errorf("loaded model %d has no name", i)
		}
	}
	return nil
}
