package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

// defaultLateSince is the time range of /v1/late without a since_ms.
const defaultLateSince = time.Hour

func (s *server) explain(r *http.Request) (any, error) {
	record, err := s.record(r, r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(record)
	if err != nil {
		return nil, err
	}
	return ExplainReply{
		Record:    json.RawMessage(data),
		MainCause: waitlog.MainCause(record),
		Lines:     waitlog.Timeline(record),
	}, nil
}

// record looks in this router's memory first and then in the object store.
func (s *server) record(r *http.Request, id string) (*apiv1.WaitRecord, error) {
	if s.Writer != nil {
		if record := s.Writer.Find(id); record != nil {
			return record, nil
		}
	}
	return s.Reader.Explain(r.Context(), id)
}

func (s *server) late(r *http.Request) (any, error) {
	sinceMs, err := queryNumber(r, "since_ms")
	if err != nil {
		return nil, err
	}
	lateMs, err := queryNumber(r, "late_ms")
	if err != nil {
		return nil, err
	}
	age := defaultLateSince
	if sinceMs != 0 {
		age = time.Duration(sinceMs) * time.Millisecond
	}
	now := s.Now()
	filter := waitlog.Filter{
		Model:  r.URL.Query().Get("model"),
		Class:  r.URL.Query().Get("class"),
		Until:  now,
		LateMs: uint32(lateMs),
	}
	var buffered []*apiv1.WaitRecord
	if s.Writer != nil {
		buffered = s.Writer.Buffered()
	}
	return s.Reader.Late(r.Context(), now.Add(-age), filter, buffered...)
}
