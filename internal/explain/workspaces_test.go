package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const workspaceLogs = `time=2026-12-04T04:00:01.100Z level=info msg=request id=r-1 outcome=served status=200 took_ms=50 workspace=port quota_waited_ms=0 quota_cost=900
time=2026-12-04T04:00:01.200Z level=info msg=request id=r-2 outcome=over_quota status=429 took_ms=120 workspace=port quota_waited_ms=120 quota_cost=0 reason="the workspace's quota has no room for the request" retry_after_ms=800
time=2026-12-04T04:00:03.200Z level=info msg=request id=r-3 outcome=served status=200 took_ms=240 workspace=port quota_waited_ms=200 quota_cost=100 model=m waited_ms=5 first_byte_ms=240 first_event_ms=20
time=2026-12-04T04:00:03.300Z level=info msg=request id=r-4 outcome=refused status=503 took_ms=1 workspace=yard quota_waited_ms=0 quota_cost=0 reason="no room: x"
time=2026-12-04T04:00:03.400Z level=info msg=request id=r-5 outcome=unauthorized status=401 took_ms=0 reason="no workspace holds the caller's key: send a valid one"
`

func TestWorkspaces(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(workspaceLogs))
	is.NoErr(err)
	uses := Workspaces(lines, time.Time{})
	is.Equal(len(uses), 2)
	is.Equal(uses[0], WorkspaceUse{Workspace: "port", Requests: 3, Served: 2, OverQuota: 1, Cost: 1000, CostPerSecond: 1000.0 / 2, MaxPerSecond: 900, LongestWait: 200 * time.Millisecond})
	is.Equal(uses[1].MainReason, "refused: no room")
	seconds := QuotaUse(lines, "port")
	is.Equal(len(seconds), 2)
	is.Equal(seconds[0].OverQuota, 1)
	is.Equal(len(QuotaUse(lines, "unknown")), 0)
	is.Equal(len(Workspaces(lines, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))), 0)

	for id, want := range map[string]string{
		"r-2": "over_quota: the workspace's quota has no room for the request",
		"r-3": quotaCause,
		"r-5": "unauthorized: no workspace holds the caller's key",
	} {
		timeline, found := Request(lines, id)
		is.True(found)
		is.Equal(timeline.Cause, want)
	}
}
