// Package rendezvous ranks members for a key by rendezvous hashing: all members
// that know the same list agree on the order without talking, and a member that
// comes or goes changes only the keys that it ranks first for.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank counts the members that a key prefers to self. A self that is not among
// the members ranks last.
func Rank(key, self string, members []string) int {
	if !slices.Contains(members, self) {
		return len(members)
	}
	own := Weight(key, self)
	rank := 0
	for _, member := range members {
		if member != self && Weight(key, member) > own {
			rank++
		}
	}
	return rank
}

// Weight is the hash by which a key orders its members, the highest first.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
