package daemon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

func TestWatchesHost(t *testing.T) {
	const own, other, shard = "a", "b", 3
	slot, err := proto.Marshal(&apiv1.SlotRow{Model: "m", Host: "host-1", Shard: shard, State: apiv1.SlotState_SLOT_STATE_ASSIGNED})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name    string
		hosts   int
		host    platform.Host
		decides bool
		want    bool
	}{
		{"small deployment", maxWatchedHosts, platform.Host{ID: "host-0", FailureDomain: other}, false, true},
		{"own failure domain", maxWatchedHosts + 1, platform.Host{ID: "host-0", FailureDomain: own}, false, true},
		{"other failure domain", maxWatchedHosts + 1, platform.Host{ID: "host-0", FailureDomain: other}, true, false},
		{"holds a replica that it decides about", maxWatchedHosts + 1, platform.Host{ID: "host-1", FailureDomain: other}, true, true},
		{"holds a replica that others decide about", maxWatchedHosts + 1, platform.Host{ID: "host-1", FailureDomain: other}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := view.NewStore()
			listing := platform.HostListing{Revision: 1}
			for i := range tc.hosts {
				listing.Hosts = append(listing.Hosts, platform.Host{ID: fmt.Sprintf("host-%d", i)})
			}
			store.SetHosts(listing)
			store.ApplyRows(platform.Changes{Revision: 1, Rows: []platform.Row{{Key: platform.SlotKey("m", 0), Value: slot, Version: 1}}})
			got := watchesHost(store.Load(), tc.host, own, func(s uint32) bool { return tc.decides && s == shard })
			is.New(t).Equal(got, tc.want)
		})
	}
}
