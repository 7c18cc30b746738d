package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/route"
)

func candidate(slot uint32, state route.State, inFlight int, room bool) route.Candidate {
	host := fmt.Sprintf("h%d", slot)
	return route.Candidate{
		Host: host, HostHash: route.HashHost(host), Slot: slot, State: state, InFlight: inFlight, Room: room,
	}
}

func TestPick(t *testing.T) {
	const cold, loading, ready = route.StateCold, route.StateLoading, route.StateReady
	for _, tc := range []struct {
		name       string
		candidates []route.Candidate
		wish       route.Wish
		host       string // empty when none is to be chosen
		reason     route.Reason
	}{
		{"none", nil, route.Wish{}, "", ""},
		{"lowest cold slot", []route.Candidate{candidate(1, cold, 0, true), candidate(2, cold, 0, true)}, route.Wish{}, "h1", route.ReasonCold},
		{"loading before a lower cold slot", []route.Candidate{candidate(1, cold, 0, true), candidate(2, loading, 9, true)}, route.Wish{}, "h2", route.ReasonLoading},
		{"waits for the cold slot with no room", []route.Candidate{candidate(1, cold, 0, false), candidate(2, cold, 0, true)}, route.Wish{}, "", ""},
		{"ready before loading", []route.Candidate{candidate(1, loading, 0, true), candidate(2, ready, 30, true)}, route.Wish{}, "h2", route.ReasonRoom},
		{"one request wakes another slot", []route.Candidate{candidate(1, ready, 9, false), candidate(2, cold, 0, true)}, route.Wish{}, "h2", route.ReasonScaleOut},
		{"only one wakes it", []route.Candidate{candidate(1, ready, 9, false), candidate(2, loading, 1, true)}, route.Wish{}, "", ""},
		{"same host", []route.Candidate{candidate(1, ready, 0, true), candidate(2, ready, 9, false)}, route.Wish{Prefer: "h2"}, "h2", route.ReasonRetry},
		{"same host has left", []route.Candidate{candidate(1, ready, 0, true)}, route.Wish{Prefer: "h2"}, "h1", route.ReasonRoom},
		{"no other host will do", []route.Candidate{candidate(1, ready, 0, true)}, route.Wish{Prefer: "h2", Only: true}, "", ""},
		{"avoids a host", []route.Candidate{candidate(1, ready, 0, true), candidate(2, ready, 9, true)}, route.Wish{Avoid: "h1"}, "h2", route.ReasonRoom},
		{"takes the avoided one when alone", []route.Candidate{candidate(1, ready, 0, true)}, route.Wish{Avoid: "h1"}, "h1", route.ReasonRoom},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			i, reason := route.Pick(tc.candidates, tc.wish)
			host := ""
			if i >= 0 {
				host = tc.candidates[i].Host
			}
			is.Equal(host, tc.host)
			is.Equal(reason, tc.reason)
		})
	}
}

// TestAffinityIsStableAndBounded sends one prompt many times: it stays on one
// replica until that one is busier than the second choice.
func TestAffinityIsStableAndBounded(t *testing.T) {
	is := is.New(t)
	wish := route.Wish{Key: route.AffinityKey("m", "", "season handbook")}
	candidates := []route.Candidate{candidate(0, route.StateReady, 0, true), candidate(1, route.StateReady, 0, true), candidate(2, route.StateReady, 0, true)}
	first, reason := route.Pick(candidates, wish)
	is.Equal(reason, route.ReasonAffinity)
	again, _ := route.Pick(candidates, wish)
	is.Equal(again, first)
	candidates[first].InFlight = 5
	second, reason := route.Pick(candidates, wish)
	is.True(second != first)
	is.Equal(reason, route.ReasonLoad)

	shared := map[int]int{}
	for i := range 300 {
		for j := range candidates {
			candidates[j].InFlight = 0
		}
		at, _ := route.Pick(candidates, route.Wish{Key: route.AffinityKey("m", "", fmt.Sprint(i))})
		shared[at]++
	}
	for at := range candidates {
		is.True(shared[at] > 60) // prompts spread over the replicas
	}
}

func TestEstimate(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		load  route.Load
		total time.Duration
	}{
		{"idle", route.Load{Window: 4, Hold: 100 * ms, FirstToken: 10 * ms}, 10 * ms},
		{"cold", route.Load{Window: 4, ReadyIn: 900 * ms, Adapter: 15 * ms}, 915 * ms},
		{"a free place", route.Load{Window: 4, Dispatched: 3, Hold: 100 * ms}, 0},
		{"window is full", route.Load{Window: 4, Dispatched: 4, Hold: 100 * ms}, 25 * ms},
		{"behind others", route.Load{Window: 4, Dispatched: 4, Ahead: 7, Hold: 100 * ms}, 200 * ms},
		{"behind others at a cold replica", route.Load{Window: 4, Dispatched: 4, Ahead: 3, Hold: 100 * ms, ReadyIn: 500 * ms}, 600 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(route.EstimateWait(tc.load).Total(), tc.total)
		})
	}
}

func TestMeanIsForgotten(t *testing.T) {
	is := is.New(t)
	var m route.Mean
	now := time.Unix(1000, 0)
	is.Equal(m.Value(now), time.Duration(0))
	m.Add(100*time.Millisecond, now)
	m.Add(200*time.Millisecond, now)
	is.Equal(m.Value(now), 120*time.Millisecond)
	is.Equal(m.Value(now.Add(time.Minute)), time.Duration(0))
}

func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var candidates []route.Candidate
			for i := range replicas {
				candidates = append(candidates, candidate(uint32(i), route.StateReady, i%3, true))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				route.Pick(candidates, route.Wish{Key: uint64(i)})
			}
		})
	}
}
