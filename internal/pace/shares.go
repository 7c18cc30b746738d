package pace

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shareHolders returns how many routers may send to an upstream while no scheduler is connected.
// Each of them may send one request at any moment, so their number is bounded by the limit and
// not by the size of the fleet.
func shareHolders(perSecond float64) int { return 2 + int(min(perSecond, MaxPerSecond)/2) }

// Shares divides the limit of an upstream among routers for times without a scheduler, in requests
// a second. In a large fleet most routers have no share.
func Shares(upstreamID string, perSecond float64, routers []string) map[string]float64 {
	holders := shareHolders(perSecond)
	if holders < len(routers) {
		routers = slices.Clone(routers)
		slices.SortFunc(routers, func(a, b string) int {
			return cmp.Or(cmp.Compare(weight(upstreamID, a), weight(upstreamID, b)), cmp.Compare(a, b))
		})
		routers = routers[:holders]
	}
	shares := make(map[string]float64, len(routers))
	for _, router := range routers {
		shares[router] = perSecond / float64(len(routers))
	}
	return shares
}

// ownShare returns the share that a router assigns to itself if no scheduler did: about as many
// routers take one as with Shares.
func ownShare(upstreamID, router string, perSecond float64, routers int) float64 {
	holders := min(shareHolders(perSecond), routers)
	if !isAmong(float64(holders), float64(routers), upstreamID, router) {
		return 0
	}
	return perSecond / float64(holders)
}

// isAmong reports whether a router is one of those that a hash of id chooses: on average holders of
// all routers.
func isAmong(holders, routers float64, id, router string) bool {
	return float64(weight(id, router))/math.MaxUint64 <= holders/routers
}

// weight orders the routers of an upstream (rendezvous hashing).
func weight(upstreamID, router string) uint64 {
	return xxhash.Sum64String(upstreamID + "\x00" + router)
}
