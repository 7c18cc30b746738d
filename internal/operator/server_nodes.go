package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// maxDrainAttempts limits the attempts to commit a drain row after conflicts.
const maxDrainAttempts = 5

// authorHeader carries the name of the operator who drains a host.
const authorHeader = "Ragwortdoor-Author"

// peerTimeout limits the status query to the other routers.
const peerTimeout = time.Second

func (s *server) self(*http.Request) (any, error) { return s.Self(), nil }

// status lists this router and the nodes of the host list. It queries the other
// routers for their state. Without the host list it lists this router alone.
func (s *server) status(r *http.Request) (any, error) {
	self := s.Self()
	reply := StatusReply{Revision: self.ConfigRevision, Nodes: []NodeStatus{self}}
	listing, err := s.Hosts.Hosts(r.Context())
	if err != nil {
		s.Log.Warn("status without the host list", "err", err)
		return reply, nil
	}
	drained, err := s.Drained(r.Context())
	if err != nil {
		s.Log.Warn("status without the drains", "err", err)
	}
	for _, host := range listing.Hosts {
		if host.ID == self.Host {
			continue
		}
		reply.Nodes = append(reply.Nodes, NodeStatus{
			Host:          host.ID,
			Role:          string(host.Role),
			FailureDomain: host.FailureDomain,
			Address:       host.Address,
			Draining:      host.State == external.HostDraining || drained[host.ID],
		})
	}
	s.queryPeers(r.Context(), listing, reply.Nodes[1:])
	return reply, nil
}

// queryPeers replaces the status of each router by the one that it reports, or
// sets its Problem. All routers are queried concurrently.
func (s *server) queryPeers(ctx context.Context, listing external.HostListing, nodes []NodeStatus) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addresses := make(map[string]string, len(listing.Hosts))
	for _, host := range listing.Hosts {
		addresses[host.ID] = host.OperatorAddress
	}
	var wg sync.WaitGroup
	for i := range nodes {
		// The queries that already run write to the other elements of nodes.
		node := &nodes[i]
		if !node.IsRouter() {
			continue
		}
		client := NewClient(ClientOptions{Servers: []string{s.PeerScheme + "://" + addresses[node.Host]}, Token: s.Token, HTTP: s.PeerHTTP})
		wg.Go(func() {
			state, err := client.Self(ctx)
			if err != nil {
				node.Problem = err.Error()
				return
			}
			state.Draining = state.Draining || node.Draining
			*node = *state
		})
	}
	wg.Wait()
}

func (s *server) drain(r *http.Request) (any, error) {
	host := r.PathValue("host")
	listing, err := s.Hosts.Hosts(r.Context())
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(listing.Hosts, func(h external.Host) bool { return h.ID == host }) {
		return nil, &Error{
			Kind:    KindNotFound,
			Message: fmt.Sprintf("the host list names no host %q", host),
			Remedy:  "copy the host's id from \"ragwortdoor status\"",
		}
	}
	return s.setDraining(r, host, true)
}

func (s *server) undrain(r *http.Request) (any, error) {
	return s.setDraining(r, r.PathValue("host"), false)
}

func (s *server) setDraining(r *http.Request, host string, draining bool) (any, error) {
	row := &apiv1.DrainRow{
		Host:     host,
		Draining: draining,
		Author:   r.Header.Get(authorHeader),
		UnixMs:   s.Now().UnixMilli(),
	}
	if err := s.writeDrain(r.Context(), row); err != nil {
		return nil, err
	}
	s.Log.Info("host drain changed", "host", host, "draining", draining, "author", row.GetAuthor())
	return DrainReply{Host: host, Draining: draining}, nil
}

// errDrainConflict is returned when the drain row changed during every attempt.
var errDrainConflict = errors.New("other operators change the drain of this host at the same time: check \"ragwortdoor status\" and try again")

// writeDrain replaces the drain row. Each commit checks the version that was read
// before it, so that a delayed commit cannot overwrite a later change.
func (s *server) writeDrain(ctx context.Context, row *apiv1.DrainRow) error {
	key := external.DrainKey(row.GetHost())
	value, err := proto.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode drain row: %w", err)
	}
	for range maxDrainAttempts {
		current, err := s.Table.Get(ctx, key)
		if err != nil {
			return err
		}
		txn := external.Txn{
			ID:     "drain-" + rand.Text(),
			Checks: []external.Check{{Key: key, Version: current.Version}},
			Puts:   []external.Put{{Key: key, Value: value}},
		}
		result, err := s.Commit(ctx, s.Table, txn)
		if err != nil {
			return err
		}
		if result.Committed || isOwnCommit(result, key, txn.ID) {
			return nil
		}
	}
	return &Error{Kind: KindConflict, Message: errDrainConflict.Error()}
}

// isOwnCommit reports whether a conflict is with the same transaction: it was
// committed before, but its reply was lost.
func isOwnCommit(result external.TxnResult, key, txnID string) bool {
	for _, row := range result.Conflicts {
		if row.Key == key && row.TxnID == txnID {
			return true
		}
	}
	return false
}
