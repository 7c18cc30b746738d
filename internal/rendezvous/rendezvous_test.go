package rendezvous_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
)

func TestEachRankIsTakenOnce(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c", "d"}
	for _, key := range []string{"x", "y", "z"} {
		var ranks []int
		for _, m := range members {
			ranks = append(ranks, rendezvous.Rank(key, m, members))
		}
		slices.Sort(ranks)
		is.Equal(ranks, []int{0, 1, 2, 3})
	}
	is.Equal(rendezvous.Rank("x", "stranger", members), len(members))
}

// A member that goes moves only the keys that it ranked first for.
func TestLossMovesOnlyItsOwnKeys(t *testing.T) {
	is := is.New(t)
	before := []string{"a", "b", "c"}
	after := []string{"a", "b"}
	for _, key := range []string{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"} {
		for _, m := range after {
			if rendezvous.Rank(key, m, before) == 0 {
				is.Equal(rendezvous.Rank(key, m, after), 0)
			}
		}
	}
}
