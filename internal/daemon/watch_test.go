package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestWatchesHost(t *testing.T) {
	const own, other = "a", "b"
	decided := []string{"host-1"}
	for _, tc := range []struct {
		name  string
		hosts int
		host  external.Host
		want  bool
	}{
		{"small deployment", maxWatchedHosts, external.Host{ID: "host-0", FailureDomain: other}, true},
		{"own failure domain", maxWatchedHosts + 1, external.Host{ID: "host-0", FailureDomain: own}, true},
		{"other failure domain", maxWatchedHosts + 1, external.Host{ID: "host-0", FailureDomain: other}, false},
		{"holds a replica that it decides about", maxWatchedHosts + 1, external.Host{ID: "host-1", FailureDomain: other}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(watchesHost(tc.hosts, tc.host, own, decided), tc.want)
		})
	}
}
