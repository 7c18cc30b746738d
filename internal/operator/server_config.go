package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
)

const (
	defaultHistory = 20
	maxHistory     = 1000
)

func (s *server) validate(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest(err.Error(), "send a smaller set")
	}
	return Validate(data, s.fleet(r.Context())), nil
}

// Validate checks a set, given as JSON, against a fleet.
func Validate(data []byte, fleet config.Fleet) *ValidateReply {
	set, faults := config.ParseSet(data)
	if len(faults) > 0 {
		return &ValidateReply{Problems: faults}
	}
	return &ValidateReply{Problems: config.Check(set, fleet), Warnings: config.Warnings(set, fleet)}
}

// fleet is what the host list tells about the pools. Sets are published without
// it while it is away.
func (s *server) fleet(ctx context.Context) config.Fleet {
	listing, err := s.Hosts.Hosts(ctx)
	if err != nil {
		s.Log.Warn("object set is checked without the host list", "err", err)
		return config.Fleet{}
	}
	return config.FleetOf(listing)
}

func (s *server) apply(r *http.Request) (any, error) {
	var request ApplyRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, badRequest("no apply request: "+err.Error(), "send what the client of the same version sends")
	}
	set, faults := config.ParseSet(request.Set)
	if len(faults) > 0 {
		return nil, invalidSet(faults)
	}
	row, err := s.Publisher.Publish(r.Context(), set, config.PublishOptions{
		Author:         request.Author,
		Message:        request.Message,
		ExpectRevision: request.ExpectRevision,
		TxnID:          request.TxnID,
	})
	if err != nil {
		return nil, err
	}
	return ApplyReply{Revision: toRevision(row), Warnings: config.Warnings(set, s.fleet(r.Context()))}, nil
}

func (s *server) objects(r *http.Request) (any, error) {
	revision, err := queryNumber(r, "revision")
	if err != nil {
		return nil, err
	}
	row, err := s.Publisher.Revision(r.Context(), revision)
	if err != nil {
		return nil, err
	}
	set, err := s.Publisher.Body(r.Context(), row.GetRevision())
	if err != nil {
		return nil, err
	}
	data, err := config.FormatSet(set)
	if err != nil {
		return nil, err
	}
	return ObjectsReply{Revision: toRevision(row), Set: data}, nil
}

func (s *server) history(r *http.Request) (any, error) {
	limit, err := queryNumber(r, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		limit = defaultHistory
	}
	rows, err := s.Publisher.History(r.Context(), int(min(limit, maxHistory)))
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Revisions: make([]Revision, 0, len(rows))}
	for _, row := range rows {
		reply.Revisions = append(reply.Revisions, toRevision(row))
	}
	return reply, nil
}

// diffRevisions compares two published revisions; 0 is the one in force.
func (s *server) diffRevisions(r *http.Request) (any, error) {
	from, err := queryNumber(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := queryNumber(r, "to")
	if err != nil {
		return nil, err
	}
	before, err := s.Publisher.Body(r.Context(), from)
	if err != nil {
		return nil, err
	}
	after, err := s.Publisher.Body(r.Context(), to)
	if err != nil {
		return nil, err
	}
	return DiffReply{Changes: config.Diff(before, after)}, nil
}

// diffSet compares the revision in force, or another one, with a set.
func (s *server) diffSet(r *http.Request) (any, error) {
	from, err := queryNumber(r, "from")
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest(err.Error(), "send a smaller set")
	}
	after, faults := config.ParseSet(data)
	if len(faults) > 0 {
		return nil, invalidSet(faults)
	}
	before, err := s.Publisher.Body(r.Context(), from)
	if err != nil {
		return nil, err
	}
	return DiffReply{Changes: config.Diff(before, after)}, nil
}

// queryNumber reads a query parameter; it is 0 when absent.
func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(fmt.Sprintf("%s %q is no whole number", name, text), "write a number such as 12")
	}
	return n, nil
}
