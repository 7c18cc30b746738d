package fleet

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// LoadedModel is a model that an engine has loaded, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Upstream is one incarnation of an upstream, as its registration describes it.
type Upstream struct {
	ID            string
	Service       string
	Addr          string // IP:PORT
	FailureDomain string
	Slots         int
	Draining      bool
	// Cordoned is set while an operator excludes the upstream from new requests.
	Cordoned bool
	// MemoryMB is the memory for weights; 0 means the value of the service's EngineSpec.
	MemoryMB int64
	// RemovedIn is the time left when the upstream is removed at short notice; 0 otherwise.
	RemovedIn time.Duration
	// Sequence orders the registrations of one incarnation.
	Sequence int64
	// StartedMs is the start time, in Unix milliseconds. It distinguishes
	// incarnations with the same id.
	StartedMs int64
	Models    []LoadedModel
	// OnDisk and InMemory name the models whose weights are cached on the host.
	OnDisk   []string
	InMemory []string
}

// TakesWork reports whether new work may be sent to the upstream.
func (u *Upstream) TakesWork() bool { return !u.Draining && !u.Cordoned }

// Registration is the state of one upstream id in the platform's list.
type Registration struct {
	ID string
	// Upstream is nil when the registration was removed or is invalid.
	Upstream *Upstream
	// Err says why a registration is invalid; nil for a valid or removed one.
	Err error
}

// Snapshot is the configuration and the upstreams known at one moment. It is
// immutable.
type Snapshot struct {
	Config *Config
	// Workspaces are those of the newest configuration that this router knows of, which may be
	// newer than Config. It is never nil once Config is known. See KeyHolder.
	Workspaces *workspace.Set
	// Upstreams maps ids to the known upstreams, draining ones included.
	Upstreams map[string]*Upstream
	ByService map[string][]*Upstream
	// UpstreamListKnown is set after the first read of the upstream list.
	UpstreamListKnown bool
	// ListVersion is the version of the platform's list that the upstreams are
	// complete for; 0 if unknown.
	ListVersion int64

	removed map[string]removal
}

// KnownUnusable reports whether an upstream is draining, cordoned or was removed
// recently. It is false for an unknown id: other routers, and the scheduler, may
// learn of a new upstream first, and of a removal later.
func (s *Snapshot) KnownUnusable(id string) bool {
	if up := s.Upstreams[id]; up != nil {
		return !up.TakesWork()
	}
	_, removed := s.removed[id]
	return removed
}

// AsksForKeys reports whether callers need a key.
func (s *Snapshot) AsksForKeys() bool { return s.Config != nil && s.Config.Workspaces.AsksForKeys() }

// KeyHolder returns the workspace that holds a key, nil for none. Workspaces of a newer configuration
// only take keys away: a router that let new ones in would show callers a version whose routes it does
// not have.
func (s *Snapshot) KeyHolder(key workspace.Key) *workspace.Workspace {
	holder := s.Config.Workspaces.Holder(key)
	if holder == nil || s.Workspaces.Version <= s.Config.Version || !s.Workspaces.AsksForKeys() {
		return holder
	}
	if newer := s.Workspaces.Holder(key); newer == nil || newer.Name != holder.Name {
		return nil
	}
	return holder
}

// Usable returns the upstream if new work may be sent to it.
func (s *Snapshot) Usable(id string) (*Upstream, bool) {
	up := s.Upstreams[id]
	return up, up != nil && up.TakesWork()
}

// Directory merges updates from the platform into snapshots. It is safe for
// concurrent use; Load never blocks.
type Directory struct {
	config atomic.Pointer[Config]
	// workspaces are the newest known ones, of the configuration or relayed.
	workspaces atomic.Pointer[workspace.Set]
	upstreams  atomic.Pointer[upstreamSet]
	// configRead and listRead are the times of the last successful reads; nil
	// before the first. They include the monotonic clock reading.
	configRead atomic.Pointer[time.Time]
	listRead   atomic.Pointer[time.Time]
	// listReadBegan is when the last successful read of the list was begun.
	listReadBegan atomic.Pointer[time.Time]

	mu sync.Mutex // serializes writers
	// relayedRead is when the last relayed batch was read from the platform.
	relayedRead time.Time
	// retained maps the ids of removed registrations to the time until which they
	// stay usable. They may only have expired while the list was unavailable.
	retained map[string]time.Time
	// quarantined has the removed incarnations that a restored list may name again, by id.
	quarantined map[string]*quarantine
	// leaving has the incarnations that said themselves that they leave, by id.
	leaving map[string]leavingMark
}

type upstreamSet struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
	listKnown bool
	version   int64
	// removed has the recently removed upstreams by id.
	removed map[string]removal
}

// removal is the end of an incarnation in the list.
type removal struct {
	at        time.Time
	startedMs int64
}

// removedTTL is how long removed upstreams are remembered, far longer than
// the upstream lists of two routers differ.
const removedTTL = time.Minute

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{retained: make(map[string]time.Time), quarantined: make(map[string]*quarantine), leaving: make(map[string]leavingMark)}
	d.upstreams.Store(&upstreamSet{})
	return d
}

// Load returns the current snapshot. The configuration and the upstreams are not
// read atomically together; neither depends on the other.
func (d *Directory) Load() *Snapshot {
	set := d.upstreams.Load()
	return &Snapshot{Config: d.config.Load(), Workspaces: d.workspaces.Load(), Upstreams: set.byID, ByService: set.byService, UpstreamListKnown: set.listKnown, ListVersion: set.version, removed: set.removed}
}

// Change is a batch of registrations.
type Change struct {
	Registrations []Registration
	// Complete is set when Registrations is the full list: other ids are removed.
	Complete bool
	// ExpiryGrace is how long removed registrations stay usable: after the list was
	// unavailable, they may only have expired. 0 removes them at once.
	ExpiryGrace time.Duration
	// Age is the time since a relayed batch was read from the platform; 0 for one that
	// this process has read itself.
	Age time.Duration
	// Began is when the read of a batch was begun that this process has read itself.
	Began time.Time
	// Version is the version of the platform's list that the directory is complete for
	// once the batch is applied. Each change of a registration has a higher one. 0 if the
	// platform has no such version.
	Version int64
}

// Merge applies a batch and returns the ids whose state changed. A batch that is older than
// the directory neither adds nor removes upstreams: it may list some that have been removed
// since.
func (d *Directory) Merge(now time.Time, change Change) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.upstreams.Load()
	if d.isOutdated(now, change) {
		if change.Age > 0 {
			return nil
		}
		change = renewals(old, change)
	}
	if change.Age > 0 {
		d.relayedRead = now.Add(-change.Age)
	}
	if isRestored(old, change) {
		d.quarantine(now, old.removed)
	}
	ordered := isLaterVersion(old, change)
	next := maps.Clone(old.byID)
	if next == nil {
		next = make(map[string]*Upstream)
	}
	var changed []string
	seen := make(map[string]bool, len(change.Registrations))
	for _, registration := range change.Registrations {
		seen[registration.ID] = true
		if d.mergeRegistration(now, next, registration, ordered, change.ExpiryGrace) {
			changed = append(changed, registration.ID)
		}
	}
	if change.Complete {
		for id := range old.byID {
			if !seen[id] && d.remove(now, next, id, change.ExpiryGrace) {
				changed = append(changed, id)
			}
		}
		d.forgetUnlisted(seen)
	}
	if change.Age == 0 {
		// A relayed batch lacks mere heartbeats, and says what its sender has dropped.
		changed = append(changed, d.dropExpired(now, next)...)
	}
	changed = append(changed, d.releaseQuarantined(now, next)...)
	set := newUpstreamSet(next)
	set.removed = recentRemovals(now, old, next)
	set.version = max(old.version, change.Version)
	d.upstreams.Store(set)
	return changed
}

// isOutdated reports whether a batch is older than the directory. Two batches without
// versions are compared by when they were read: a read may take long, and what was relayed
// meanwhile is not in it.
func (d *Directory) isOutdated(now time.Time, change Change) bool {
	if version := d.upstreams.Load().version; version > 0 && change.Version > 0 {
		return change.Version < version
	}
	if change.Age > 0 {
		began := d.listReadBegan.Load()
		return began != nil && began.After(now.Add(-change.Age))
	}
	return !change.Began.IsZero() && d.relayedRead.After(change.Began)
}

// renewals returns the part of an outdated batch that still counts: the sequence numbers of
// one incarnation order its registrations, whenever they arrive.
func renewals(old *upstreamSet, change Change) Change {
	var known []Registration
	for _, registration := range change.Registrations {
		up, current := registration.Upstream, old.byID[registration.ID]
		if up != nil && current != nil && up.StartedMs == current.StartedMs {
			known = append(known, registration)
		}
	}
	return Change{Registrations: known}
}

// isLaterVersion reports whether a batch shows the list as it was after all that the directory
// has. The list has been restored from a copy if the era differs: then the copy's registrations
// are older ones.
func isLaterVersion(old *upstreamSet, change Change) bool {
	return old.version > 0 && change.Version >= old.version && era.Of(change.Version) == era.Of(old.version)
}

// mergeRegistration applies one registration. ordered is set if it is known to be later than the
// present one of its incarnation, whatever their sequence numbers: another writer may have
// written a higher one.
func (d *Directory) mergeRegistration(now time.Time, next map[string]*Upstream, registration Registration, ordered bool, grace time.Duration) bool {
	if registration.Err != nil {
		// Another process may have written an invalid registration; the last valid
		// one stays in use.
		return false
	}
	if d.holdBack(registration) {
		return false
	}
	if registration.Upstream == nil {
		return d.remove(now, next, registration.ID, grace)
	}
	current := next[registration.ID]
	received := registration.Upstream
	if current != nil && isOlder(received, current) && !(ordered && received.StartedMs == current.StartedMs) {
		return false
	}
	delete(d.retained, registration.ID)
	if !received.Draining && (isDraining(current, received) || d.saidItLeaves(received)) {
		// An incarnation never returns from draining.
		draining := *received
		draining.Draining = true
		received = &draining
	}
	next[registration.ID] = received
	return true
}

// recentRemovals returns the upstreams that were removed within removedTTL.
func recentRemovals(now time.Time, old *upstreamSet, next map[string]*Upstream) map[string]removal {
	removed := make(map[string]removal)
	for id, r := range old.removed {
		if next[id] == nil && now.Sub(r.at) < removedTTL {
			removed[id] = r
		}
	}
	for id, up := range old.byID {
		if next[id] == nil {
			removed[id] = removal{at: now, startedMs: up.StartedMs}
		}
	}
	return removed
}

// isOlder reports whether received is a late copy of an earlier registration
// than current.
func isOlder(received, current *Upstream) bool {
	if received.StartedMs != current.StartedMs {
		return received.StartedMs < current.StartedMs
	}
	return received.Sequence < current.Sequence
}

func (d *Directory) remove(now time.Time, next map[string]*Upstream, id string, grace time.Duration) bool {
	if next[id] == nil {
		return false
	}
	if grace > 0 {
		if _, ok := d.retained[id]; !ok {
			d.retained[id] = now.Add(grace)
		}
		return false
	}
	delete(d.retained, id)
	delete(next, id)
	return true
}

// dropExpired removes the retained registrations that were not renewed in time.
func (d *Directory) dropExpired(now time.Time, next map[string]*Upstream) []string {
	var removed []string
	for id, until := range d.retained {
		if now.Before(until) {
			continue
		}
		delete(d.retained, id)
		delete(next, id)
		removed = append(removed, id)
	}
	return removed
}

// HasRetained reports whether expired registrations are retained, or removed ones are in
// quarantine: Merge has to be called although nothing changed.
func (d *Directory) HasRetained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.retained)+len(d.quarantined) > 0
}

// awaitsRenewals reports whether expired registrations are retained. Only this router's own
// reads show which of them are renewed.
func (d *Directory) awaitsRenewals() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.retained) > 0
}

// neverReadAge is the age reported before the first read.
const neverReadAge = time.Hour

// ReadAges returns the time since the configuration and the upstream list were
// last read from the platform; one hour for what was never read.
func (d *Directory) ReadAges(now time.Time) (config, list time.Duration) {
	age := func(at *time.Time) time.Duration {
		if at == nil {
			return neverReadAge
		}
		return now.Sub(*at)
	}
	return age(d.configRead.Load()), age(d.listRead.Load())
}

// recordRead sets one of the read times that ReadAges is computed from.
func recordRead(at *atomic.Pointer[time.Time], now time.Time) { at.Store(&now) }

func newUpstreamSet(byID map[string]*Upstream) *upstreamSet {
	set := &upstreamSet{byID: byID, byService: make(map[string][]*Upstream), listKnown: true}
	for _, up := range byID {
		set.byService[up.Service] = append(set.byService[up.Service], up)
	}
	return set
}
