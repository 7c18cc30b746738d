package view

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

// Rows encodes the snapshot's table state as rows, so that a router that starts
// during an outage of the table service can take it over with ApplyRows.
func (s *Snapshot) Rows() (platform.Changes, error) {
	e := rowEncoder{out: platform.Changes{Revision: s.TableRevision}}
	if s.Head != nil {
		e.add(platform.HeadKey, s.Head, s.HeadVersion)
	}
	for model, slots := range s.Slots {
		for _, slot := range slots {
			e.add(platform.SlotKey(model, slot.Row.GetSlot()), slot.Row, slot.Version)
		}
	}
	for name, lease := range s.Leases {
		e.add(platform.LeaseKey(name), lease.Row, lease.Version)
	}
	for host, draining := range s.Drains {
		e.add(platform.DrainKey(host), &apiv1.DrainRow{Host: host, Draining: draining}, s.drainVersions[host])
	}
	return e.out, e.err
}

// rowEncoder collects rows and keeps the first error.
type rowEncoder struct {
	out platform.Changes
	err error
}

func (e *rowEncoder) add(key string, m proto.Message, version int64) {
	value, err := proto.Marshal(m)
	if err != nil && e.err == nil {
		e.err = fmt.Errorf("encode row %s: %w", key, err)
	}
	e.out.Rows = append(e.out.Rows, platform.Row{Key: key, Value: value, Version: version})
}
