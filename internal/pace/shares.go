package pace

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// shareHolders returns how many routers may send to an upstream while no scheduler is connected.
// Each of them may send one request at any moment, so their number is bounded by the limit and
// not by the size of the fleet.
func shareHolders(perSecond float64) int { return 2 + int(min(perSecond, MaxPerSecond)/2) }

// Share returns the part of an upstream's limit that a router has in times without a scheduler, in
// requests a second. It is 0 for most routers of a large fleet.
func Share(upstreamID string, perSecond float64, routers []string, router string) float64 {
	holders := min(shareHolders(perSecond), len(routers))
	own, before := weight(upstreamID, router), 0
	for _, other := range routers {
		if w := weight(upstreamID, other); w < own || w == own && other < router {
			before++
		}
	}
	if before >= holders {
		return 0
	}
	return perSecond / float64(holders)
}

// ownShare returns the share that a router assigns to itself if no scheduler did: about as many
// routers take one as with Share.
func ownShare(upstreamID, router string, perSecond float64, routers int) float64 {
	holders := min(shareHolders(perSecond), routers)
	if float64(weight(upstreamID, router))/math.MaxUint64 > float64(holders)/float64(routers) {
		return 0
	}
	return perSecond / float64(holders)
}

// weight orders the routers of an upstream (rendezvous hashing).
func weight(upstreamID, router string) uint64 {
	return xxhash.Sum64String(upstreamID + "\x00" + router)
}
