package gossip

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestSealAndOpen(t *testing.T) {
	m := &apiv1.Gossip{Router: "r1", ConfigRevision: 7}
	for _, tc := range []struct {
		name       string
		from, to   []byte
		wantBadTag bool
	}{
		{"open", nil, nil, false},
		{"same token", []byte("a"), []byte("a"), false},
		{"other token", []byte("a"), []byte("b"), true},
		{"sender without token", nil, []byte("b"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			datagram, err := seal(tc.from, m)
			is.NoErr(err)
			got, err := open(tc.to, datagram)
			is.Equal(errors.Is(err, ErrBadTag), tc.wantBadTag)
			if !tc.wantBadTag {
				is.Equal(got.GetConfigRevision(), uint64(7))
			}
		})
	}
}

// A peer's revision never goes back, whatever order datagrams arrive in and
// however often the peer restarts.
func TestPeerRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := NewPeers()
		highest := uint64(0)
		var inFlight []*apiv1.Gossip
		sequence := map[string]uint64{}
		revision := uint64(0)
		boot := "a"
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				revision += rapid.Uint64Range(0, 2).Draw(t, "growth")
				sequence[boot]++
				inFlight = append(inFlight, &apiv1.Gossip{Router: "r", BootId: boot, Sequence: sequence[boot], ConfigRevision: revision})
			},
			"restart": func(t *rapid.T) { boot = rapid.StringN(1, 4, 4).Draw(t, "boot") },
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				m := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")]
				peers.Merge(m, time.Unix(0, 0))
				highest = max(highest, m.GetConfigRevision())
			},
			"": func(t *rapid.T) {
				peer, _ := peers.Get("r")
				if peer.ConfigRevision != highest {
					t.Fatalf("revision %d, the highest delivered is %d", peer.ConfigRevision, highest)
				}
			},
		})
	})
}

func TestNodesHearEachOther(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	addrs := []string{"127.0.0.1:19471", "127.0.0.1:19472"}
	heard := make(chan string, 64)
	done := make(chan error, len(addrs))
	for i, addr := range addrs {
		node := NewNode(Options{
			Listen: addr, Token: []byte("t"), Period: 10 * time.Millisecond, Fanout: 1, Log: logger,
			Targets: func() []string { return []string{addrs[1-i]} },
			Message: func() *apiv1.Gossip { return &apiv1.Gossip{Router: addr, BootId: "b"} },
			Heard: func(m *apiv1.Gossip) {
				select {
				case heard <- m.GetRouter():
				default:
				}
			},
		})
		go func() { done <- node.Run(ctx) }()
	}
	seen := map[string]bool{}
	for len(seen) < len(addrs) {
		seen[<-heard] = true
	}
	cancel()
	for range addrs {
		is.NoErr(<-done)
	}
}

func TestMessageFitsOneDatagram(t *testing.T) {
	is := is.New(t)
	node := NewNode(Options{Message: func() *apiv1.Gossip {
		m := &apiv1.Gossip{Router: "r"}
		for range 1000 {
			m.Replicas = append(m.Replicas, &apiv1.ReplicaHint{Model: "some-model", Generation: 9})
		}
		return m
	}})
	datagram, err := node.next()
	is.NoErr(err)
	is.True(len(datagram) <= MaxDatagramBytes)
}
