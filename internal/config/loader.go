package config

import (
	"context"
	"fmt"
	"sync"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// LoaderStats counts the bodies that a Loader has loaded and the bytes read.
type LoaderStats struct {
	// Deltas counts bodies made from the previous one and a delta.
	Deltas uint64 `json:"deltas"`
	// Bodies counts complete bodies read from the object store.
	Bodies uint64 `json:"bodies"`
	// Bytes counts the bytes read from the object store.
	Bytes uint64 `json:"bytes"`
}

// Loader reads the bodies of successive revisions. It caches the last one and then
// needs only a delta for the revision that directly follows. It is safe for
// concurrent use.
type Loader struct {
	objects external.ObjectStore

	mu    sync.Mutex
	last  *body // nil before the first load
	stats LoaderStats
}

// body is the body of one revision.
type body struct {
	key          string
	uncompressed []byte // protobuf encoding of set
	set          *apiv1.ObjectSet
}

// NewLoader returns a loader that reads from an object store.
func NewLoader(objects external.ObjectStore) *Loader {
	return &Loader{objects: objects}
}

// Load reads the body that a head row names, verifies its hash and indexes the
// set. The error wraps a *BodyError for a corrupt body, otherwise the error of the
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

// Stats returns a snapshot of the counters.
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
		// Without a usable delta, the complete body is read.
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
	return decodeBody(key, stored)
}

func (l *Loader) loadDelta(ctx context.Context, key string) (*body, error) {
	delta, err := l.objects.Get(ctx, DeltaKey(l.last.key, key))
	if err != nil {
		return nil, err
	}
	l.stats.Bytes += uint64(len(delta))
	uncompressed, err := applyDelta(l.last.uncompressed, delta)
	if err != nil {
		return nil, err
	}
	// The key is the hash of the compressed body, so compress again to verify it.
	// A release whose encoder gives other bytes fails here and reads complete
	// bodies.
	if BodyKey(encoder.EncodeAll(uncompressed, nil)) != key {
		return nil, errDeltaMismatch
	}
	return newBody(key, uncompressed)
}
