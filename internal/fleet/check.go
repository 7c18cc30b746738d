package fleet

import (
	"fmt"
	"net/netip"
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
)

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
	for _, field := range []struct {
		name       string
		value, max int64
	}{
		{"slots", int64(u.Slots), maxSlots},
		{"sequence number", u.Sequence, maxCount},
		{"start time in ms", u.StartedMs, maxStartedMs},
		{"time to its removal in ns", int64(u.RemovedIn), int64(maxRemovedIn)},
	} {
		if field.value < 0 || field.value > field.max {
			return fmt.Errorf("registration %q: %s %d is not from 0 to %d", u.ID, field.name, field.value, field.max)
		}
	}
	return checkModels(u.Models)
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
