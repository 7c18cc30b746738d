package config

import (
	"context"
	"fmt"
	"sync"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// LoaderStats count how a Loader came by its bodies.
type LoaderStats struct {
	// Deltas counts bodies that were made from the one before and a delta.
	Deltas uint64 `json:"deltas"`
	// Bodies counts bodies that were read whole.
	Bodies uint64 `json:"bodies"`
	// Bytes counts the bytes read from the object store.
	Bytes uint64 `json:"bytes"`
}

// Loader reads the bodies of successive revisions. It keeps the last one, so
// that it has to read only what differs when the next head follows it directly.
// It is safe for concurrent use.
type Loader struct {
	objects external.ObjectStore

	mu    sync.Mutex
	last  *body // nil before the first load
	stats LoaderStats
}

// body is a set in its decoded and its uncompressed form.
type body struct {
	key   string
	plain []byte
	set   *apiv1.ObjectSet
}

// NewLoader makes a loader on the object store.
func NewLoader(objects external.ObjectStore) *Loader {
	return &Loader{objects: objects}
}

// Load reads the set that a head row names, verifies its hash and indexes it. A
// body that is damaged gives a *BodyError, any other failure the error of the
// object store.
func (l *Loader) Load(ctx context.Context, head *apiv1.HeadRow) (*Index, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, err := l.load(ctx, head.GetBodyKey())
	if err != nil {
		return nil, fmt.Errorf("load revision %d: %w", head.GetRevision(), err)
	}
	l.last = next
	return NewIndex(head.GetRevision(), next.set), nil
}

// Stats returns the counters.
func (l *Loader) Stats() LoaderStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

func (l *Loader) load(ctx context.Context, key string) (*body, error) {
	if l.last != nil && l.last.key == key {
		return l.last, nil
	}
	if l.last != nil {
		// Without a usable delta, the whole body is read.
		if next, err := l.loadDelta(ctx, key); err == nil {
			l.stats.Deltas++
			return next, nil
		}
	}
	stored, err := l.objects.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	l.stats.Bodies++
	l.stats.Bytes += uint64(len(stored))
	return openBody(key, stored)
}

func (l *Loader) loadDelta(ctx context.Context, key string) (*body, error) {
	delta, err := l.objects.Get(ctx, DeltaKey(l.last.key, key))
	if err != nil {
		return nil, err
	}
	l.stats.Bytes += uint64(len(delta))
	plain, err := applyDelta(l.last.plain, delta)
	if err != nil {
		return nil, err
	}
	// The key is the hash of the compressed form, so that is made again. A
	// release that compresses otherwise reads whole bodies.
	if BodyKey(encoder.EncodeAll(plain, nil)) != key {
		return nil, errNoDelta
	}
	return newBody(key, plain)
}
