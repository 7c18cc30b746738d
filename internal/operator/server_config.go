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
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

func (s *server) validate(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequestError(err.Error(), "send a smaller object set")
	}
	return Validate(data, s.fleet(r.Context())), nil
}

// Validate checks a JSON object set against a fleet. It reports warnings only if
// the set can be parsed.
func Validate(data []byte, fleet config.Fleet) *ValidateReply {
	set, problems := config.ParseSet(data)
	if len(problems) > 0 {
		return &ValidateReply{Problems: problems}
	}
	return &ValidateReply{Problems: config.Check(set, fleet), Warnings: config.Warnings(set, fleet)}
}

// fleet returns the pools of the host list. It is empty when the host list is
// unavailable, so that object sets can still be published.
func (s *server) fleet(ctx context.Context) config.Fleet {
	listing, err := s.Hosts.Hosts(ctx)
	if err != nil {
		s.Log.Warn("object set is checked without the host list", "err", err)
		return config.Fleet{}
	}
	return config.FleetOf(listing)
}

func (s *server) apply(r *http.Request) (any, error) {
	var req ApplyRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, badRequestError("invalid apply request: "+err.Error(), "use the ragwortdoor command of the router's version")
	}
	set, problems := config.ParseSet(req.Set)
	if len(problems) > 0 {
		return nil, invalidSetError(problems)
	}
	row, err := s.Publisher.Publish(r.Context(), set, config.PublishOptions{
		Author:         req.Author,
		Message:        req.Message,
		ExpectRevision: req.ExpectRevision,
		TxnID:          req.TxnID,
	})
	if err != nil {
		return nil, err
	}
	return ApplyReply{Revision: toRevision(row), Warnings: config.Warnings(set, s.fleet(r.Context()))}, nil
}

func (s *server) objects(r *http.Request) (any, error) {
	revision, err := queryUint(r, "revision")
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
	limit, err := queryUint(r, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	rows, err := s.Publisher.History(r.Context(), int(min(limit, maxHistoryLimit)))
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Revisions: make([]Revision, 0, len(rows))}
	for _, row := range rows {
		reply.Revisions = append(reply.Revisions, toRevision(row))
	}
	return reply, nil
}

// diffRevisions compares two published revisions; 0 means the one in force.
func (s *server) diffRevisions(r *http.Request) (any, error) {
	from, err := queryUint(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := queryUint(r, "to")
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

// diffSet compares a published revision with the object set in the request body;
// 0 means the revision in force.
func (s *server) diffSet(r *http.Request) (any, error) {
	from, err := queryUint(r, "from")
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequestError(err.Error(), "send a smaller object set")
	}
	after, problems := config.ParseSet(data)
	if len(problems) > 0 {
		return nil, invalidSetError(problems)
	}
	before, err := s.Publisher.Body(r.Context(), from)
	if err != nil {
		return nil, err
	}
	return DiffReply{Changes: config.Diff(before, after)}, nil
}

// queryUint parses a query parameter; it returns 0 if the parameter is absent.
func queryUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequestError(fmt.Sprintf("%s %q is not an unsigned integer", name, text), "write a number such as 12")
	}
	return n, nil
}
