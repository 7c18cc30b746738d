package view

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Rows encodes the snapshot's table state as rows, so that a router that starts
// during an outage of the table service can take it over with ApplyRows.
func (s *Snapshot) Rows() (external.Changes, error) {
	e := rowEncoder{out: external.Changes{Revision: s.TableRevision}}
	if s.Head != nil {
		e.add(external.HeadKey, s.Head, s.HeadVersion)
	}
	for model, slots := range s.Slots {
		for _, slot := range slots {
			e.add(external.SlotKey(model, slot.Row.GetSlot()), slot.Row, slot.Version)
		}
	}
	for name, lease := range s.Leases {
		e.add(external.LeaseKey(name), lease.Row, lease.Version)
	}
	for host, draining := range s.Drains {
		e.add(external.DrainKey(host), &apiv1.DrainRow{Host: host, Draining: draining}, s.drainVersions[host])
	}
	return e.out, e.err
}

// rowEncoder collects rows and keeps the first error.
type rowEncoder struct {
	out external.Changes
	err error
}

func (e *rowEncoder) add(key string, m proto.Message, version int64) {
	value, err := proto.Marshal(m)
	if err != nil && e.err == nil {
		e.err = fmt.Errorf("encode row %s: %w", key, err)
	}
	e.out.Rows = append(e.out.Rows, external.Row{Key: key, Value: value, Version: version})
}
