package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// drainTries bounds how often a drain row is written anew after a conflict.
const drainTries = 5

// authorHeader names the operator who drains a host.
const authorHeader = "Ragwortdoor-Author"

func (s *server) status(r *http.Request) (any, error) {
	reply := StatusReply{Nodes: []NodeStatus{}}
	if s.View != nil {
		snapshot := s.View.Load()
		reply.Revision = toRevision(snapshot.Head)
		reply.TableRevision = snapshot.TableRevision
	}
	if s.Status != nil {
		reply.Nodes = append(reply.Nodes, s.Status.Nodes(r.Context())...)
	}
	if s.Writer != nil {
		reply.WaitRecords = s.Writer.Stats()
	}
	return reply, nil
}

func (s *server) drain(r *http.Request) (any, error) {
	host := r.PathValue("host")
	if !s.listed(host) {
		return nil, &Error{
			Kind:    KindNotFound,
			Message: fmt.Sprintf("the platform's list names no host %q", host),
			Remedy:  "copy the host's id from \"ragwortdoor status\"",
		}
	}
	return s.setDraining(r, host, true)
}

func (s *server) undrain(r *http.Request) (any, error) {
	return s.setDraining(r, r.PathValue("host"), false)
}

// listed reports whether the host list names a host. Any host counts while the
// list was never read.
func (s *server) listed(host string) bool {
	snapshot := s.snapshot()
	_, known := snapshot.ByHost[host]
	return known || len(snapshot.ByHost) == 0
}

func (s *server) snapshot() *view.Snapshot {
	if s.View == nil {
		return &view.Snapshot{}
	}
	return s.View.Load()
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
	return DrainReply{Host: host, Draining: draining, SlotsHeld: len(s.snapshot().SlotsOn(host))}, nil
}

// errDrainRace means that others kept changing the same drain row.
var errDrainRace = errors.New("others change the same drain: look at \"ragwortdoor status\" and try again")

// writeDrain replaces the drain row. Each try checks the version that it read,
// so that a delayed one can't undo a later change.
func (s *server) writeDrain(ctx context.Context, row *apiv1.DrainRow) error {
	key := external.DrainKey(row.GetHost())
	value, err := proto.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode drain row: %w", err)
	}
	for range drainTries {
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
		if result.Committed || wroteRow(result, key, txn.ID) {
			return nil
		}
	}
	return &Error{Kind: KindConflict, Message: errDrainRace.Error()}
}

// wroteRow reports whether a conflict is with the transaction itself, whose
// first answer was lost.
func wroteRow(result external.TxnResult, key, txnID string) bool {
	for _, row := range result.Conflicts {
		if row.Key == key && row.TxnID == txnID {
			return true
		}
	}
	return false
}
