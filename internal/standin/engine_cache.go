package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// memoryCheckpoints is the number of checkpoints that a host keeps in memory;
// the oldest one goes to disk.
const memoryCheckpoints = 4

// checkpointCache holds the checkpoints of one host, the oldest first.
type checkpointCache struct{ entries []external.CachedCheckpoint }

func newCheckpointCache(cached []external.CachedCheckpoint) checkpointCache {
	return checkpointCache{entries: slices.Clone(cached)}
}

func (c *checkpointCache) list() []external.CachedCheckpoint {
	return append([]external.CachedCheckpoint{}, c.entries...)
}

// tier returns the nearest tier that holds a checkpoint.
func (c *checkpointCache) tier(checkpoint string) external.Tier {
	for _, entry := range c.entries {
		if entry.Checkpoint == checkpoint {
			return entry.Tier
		}
	}
	return external.TierRemote
}

// put keeps a checkpoint in memory.
func (c *checkpointCache) put(checkpoint string) {
	c.entries = slices.DeleteFunc(c.entries, func(entry external.CachedCheckpoint) bool {
		return entry.Checkpoint == checkpoint
	})
	c.entries = append(c.entries, external.CachedCheckpoint{Checkpoint: checkpoint, Tier: external.TierMemory})
	inMemory := 0
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].Tier != external.TierMemory {
			continue
		}
		inMemory++
		if inMemory > memoryCheckpoints {
			c.entries[i].Tier = external.TierDisk
		}
	}
}

// loseMemory drops what a restart loses.
func (c *checkpointCache) loseMemory() {
	c.entries = slices.DeleteFunc(c.entries, func(entry external.CachedCheckpoint) bool {
		return entry.Tier == external.TierMemory
	})
}

// weightReader reads checkpoints from the weight store.
type weightReader struct {
	base      string
	transport *http.Transport
}

func newWeightReader(base string) *weightReader {
	return &weightReader{base: base, transport: external.NewTransport()}
}

// read takes as long as the weight store takes; without a store it is free.
func (r *weightReader) read(ctx context.Context, checkpoint string) error {
	if r.base == "" {
		return nil
	}
	target := r.base + "/v1/checkpoints/" + url.PathEscape(checkpoint) + "/load"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return fmt.Errorf("weight store URL %q: %w", r.base, err)
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d for checkpoint %s", resp.StatusCode, checkpoint)
	}
	return nil
}

func (r *weightReader) close() { r.transport.CloseIdleConnections() }
