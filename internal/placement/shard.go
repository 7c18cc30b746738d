package placement

import "github.com/cespare/xxhash/v2"

// ShardOf returns the decision shard of a model, in [0, shards). A shards of 0
// counts as 1.
func ShardOf(model string, shards uint32) uint32 {
	if shards == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(model) % uint64(shards))
}
