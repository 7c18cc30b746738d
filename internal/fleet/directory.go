package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// LoadedModel is a model that an engine holds with its adapters.
type LoadedModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Upstream is one incarnation of a server, as it describes itself.
type Upstream struct {
	ID            string
	Service       string
	Addr          string // IP:PORT
	FailureDomain string
	Slots         int
	Draining      bool
	// Cordoned keeps new work away until an operator takes that back.
	Cordoned bool
	// MemoryMB is the memory for weights; 0 if it is that of the service.
	MemoryMB int64
	// RemovedIn is set when the upstream is taken away at short notice.
	RemovedIn time.Duration
	// Sequence counts the descriptions of one incarnation.
	Sequence int64
	// StartedMs is the Unix time of the start in milliseconds; it tells
	// incarnations with one id apart.
	StartedMs int64
	Models    []LoadedModel
	// OnDisk and InMemory name the models whose weights the host keeps.
	OnDisk   []string
	InMemory []string
}

// TakesWork reports whether new work may be sent to the upstream.
func (u *Upstream) TakesWork() bool { return !u.Draining && !u.Cordoned }

// Registration is the state of one id in the platform's list.
type Registration struct {
	ID string
	// Upstream is nil when the entry was removed or names no usable upstream.
	Upstream *Upstream
	// Err tells why an entry names no usable upstream; nil for a removed one.
	Err error
}

// Snapshot is what a router knows at one moment. It is immutable.
type Snapshot struct {
	Config *Config
	// Upstreams holds the known upstreams by id, draining ones included.
	Upstreams map[string]*Upstream
	ByService map[string][]*Upstream
	// UpstreamListKnown is set once the list of upstreams was read.
	UpstreamListKnown bool

	left map[string]time.Time
}

// KnownUnusable reports whether an upstream is leaving or was removed lately. Another
// router may not have heard of it yet.
func (s *Snapshot) KnownUnusable(id string) bool {
	if up := s.Upstreams[id]; up != nil {
		return !up.TakesWork()
	}
	_, removed := s.left[id]
	return removed
}

// Usable returns the upstream if new work may be sent to it.
func (s *Snapshot) Usable(id string) (*Upstream, bool) {
	up := s.Upstreams[id]
	return up, up != nil && up.TakesWork()
}

// Directory merges what the platform tells into snapshots. It is safe for
// concurrent use; Load never waits.
type Directory struct {
	config    atomic.Pointer[Config]
	upstreams atomic.Pointer[upstreamSet]
	// configRead and listRead are when the platform was last read; nil before the
	// first time. They keep the reading of the steady clock.
	configRead atomic.Pointer[time.Time]
	listRead   atomic.Pointer[time.Time]

	mu sync.Mutex // serializes changes
	// held are removed entries that are kept until the time given, since the
	// list was away and its entries may only have lapsed.
	held map[string]time.Time
}

type upstreamSet struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
	listed    bool
	// left tells when upstreams were removed.
	left map[string]time.Time
}

// leftMemory is how long removed upstreams are remembered, far above the time
// that routers disagree.
const leftMemory = time.Minute

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{held: make(map[string]time.Time)}
	d.upstreams.Store(&upstreamSet{})
	return d
}

// Load returns the present snapshot. Its two halves may be read at slightly
// different moments; neither depends on the other.
func (d *Directory) Load() *Snapshot {
	set := d.upstreams.Load()
	return &Snapshot{Config: d.config.Load(), Upstreams: set.byID, ByService: set.byService, UpstreamListKnown: set.listed, left: set.left}
}

// SetConfig puts a configuration in force. It reports false, and changes
// nothing, if a newer or the same one is in force already.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.config.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	d.config.Store(c)
	return true
}

// Change is a batch of entries.
type Change struct {
	Registrations []Registration
	// Complete is set when Entries is the whole list: other ids are removed.
	Complete bool
	// ExpiryGrace is how long removed entries stay usable, because the list was
	// away and entries may have lapsed meanwhile.
	ExpiryGrace time.Duration
}

// Merge takes a batch over and returns the ids whose state changed.
func (d *Directory) Merge(now time.Time, change Change) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.upstreams.Load()
	next := maps.Clone(old.byID)
	if next == nil {
		next = make(map[string]*Upstream)
	}
	var changed []string
	seen := make(map[string]bool, len(change.Registrations))
	for _, entry := range change.Registrations {
		seen[entry.ID] = true
		if d.mergeEntry(now, next, entry, change.ExpiryGrace) {
			changed = append(changed, entry.ID)
		}
	}
	if change.Complete {
		for id := range old.byID {
			if !seen[id] && d.remove(now, next, id, change.ExpiryGrace) {
				changed = append(changed, id)
			}
		}
	}
	changed = append(changed, d.expireHeld(now, next)...)
	set := newUpstreamSet(next)
	set.left = rememberLeft(now, old, next)
	d.upstreams.Store(set)
	return changed
}

func (d *Directory) mergeEntry(now time.Time, next map[string]*Upstream, entry Registration, grace time.Duration) bool {
	if entry.Err != nil {
		// An unreadable entry may have another writer; what is known stays.
		return false
	}
	if entry.Upstream == nil {
		return d.remove(now, next, entry.ID, grace)
	}
	known := next[entry.ID]
	fresh := entry.Upstream
	if known != nil && isOlder(fresh, known) {
		return false
	}
	delete(d.held, entry.ID)
	if known != nil && known.Draining && known.StartedMs == fresh.StartedMs && !fresh.Draining {
		// An incarnation that began to leave does not come back.
		kept := *fresh
		kept.Draining = true
		fresh = &kept
	}
	next[entry.ID] = fresh
	return true
}

// rememberLeft returns the upstreams that were removed lately.
func rememberLeft(now time.Time, old *upstreamSet, next map[string]*Upstream) map[string]time.Time {
	left := make(map[string]time.Time)
	for id, at := range old.left {
		if next[id] == nil && now.Sub(at) < leftMemory {
			left[id] = at
		}
	}
	for id := range old.byID {
		if next[id] == nil {
			left[id] = now
		}
	}
	return left
}

// isOlder reports whether fresh is a late copy of an earlier description.
func isOlder(fresh, known *Upstream) bool {
	if fresh.StartedMs != known.StartedMs {
		return fresh.StartedMs < known.StartedMs
	}
	return fresh.Sequence < known.Sequence
}

func (d *Directory) remove(now time.Time, next map[string]*Upstream, id string, grace time.Duration) bool {
	if next[id] == nil {
		return false
	}
	if grace > 0 {
		if _, ok := d.held[id]; !ok {
			d.held[id] = now.Add(grace)
		}
		return false
	}
	delete(d.held, id)
	delete(next, id)
	return true
}

// expireHeld drops the lapsed entries that did not come back.
func (d *Directory) expireHeld(now time.Time, next map[string]*Upstream) []string {
	var gone []string
	for id, until := range d.held {
		if now.Before(until) {
			continue
		}
		delete(d.held, id)
		delete(next, id)
		gone = append(gone, id)
	}
	return gone
}

// HasRetained reports whether lapsed entries wait for their return.
func (d *Directory) HasRetained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held) > 0
}

// neverRead is the age of what was not read yet.
const neverRead = time.Hour

// ReadAges returns the time since the configuration and the list of upstreams
// were last read from the platform.
func (d *Directory) ReadAges(now time.Time) (config, list time.Duration) {
	age := func(at *time.Time) time.Duration {
		if at == nil {
			return neverRead
		}
		return now.Sub(*at)
	}
	return age(d.configRead.Load()), age(d.listRead.Load())
}

// noteRead sets one of the times that ReadAges tells.
func noteRead(at *atomic.Pointer[time.Time], now time.Time) { at.Store(&now) }

func newUpstreamSet(byID map[string]*Upstream) *upstreamSet {
	set := &upstreamSet{byID: byID, byService: make(map[string][]*Upstream), listed: true}
	for _, up := range byID {
		set.byService[up.Service] = append(set.byService[up.Service], up)
	}
	return set
}
