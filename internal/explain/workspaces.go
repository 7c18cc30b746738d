package explain

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	outcomeOverQuota = "over_quota"
	// quotaCause is the cause of a request that waited mostly for its workspace's quota.
	quotaCause = "quota of the workspace"
)

// WorkspaceUse is what the requests of one workspace came to.
type WorkspaceUse struct {
	Workspace string `json:"workspace"`
	Requests  int    `json:"requests"`
	Served    int    `json:"served"`
	// OverQuota counts the requests that the quota had no room for, NotServed all others that
	// were not served; MainReason is the most frequent cause of the latter.
	OverQuota  int    `json:"over_quota"`
	NotServed  int    `json:"not_served"`
	MainReason string `json:"main_reason"`
	// Cost is what its requests cost of the quota, CostPerSecond the mean and MaxPerSecond the
	// highest in one second.
	Cost          int64   `json:"cost"`
	CostPerSecond float64 `json:"cost_per_second"`
	MaxPerSecond  int64   `json:"max_per_second"`
	// LongestWait is the longest wait for the quota.
	LongestWait time.Duration `json:"longest_quota_wait_ns"`
}

// Second is what a workspace used in one second.
type Second struct {
	At        time.Time `json:"at"`
	Requests  int       `json:"requests"`
	Cost      int64     `json:"cost"`
	OverQuota int       `json:"over_quota"`
}

// Workspaces reports on the workspaces whose requests ended since a time, those with the most
// requests over their quota first.
func Workspaces(lines []Line, since time.Time) []WorkspaceUse {
	byName := make(map[string][]Line)
	for _, l := range lines {
		if name := l.Fields["workspace"]; l.Kind == kindRequest && name != "" && !l.At.Before(since) {
			byName[name] = append(byName[name], l)
		}
	}
	uses := make([]WorkspaceUse, 0, len(byName))
	for name, requests := range byName {
		uses = append(uses, workspaceUse(name, requests))
	}
	slices.SortFunc(uses, func(a, b WorkspaceUse) int {
		return cmp.Or(cmp.Compare(b.OverQuota, a.OverQuota), cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Workspace, b.Workspace))
	})
	return uses
}

func workspaceUse(name string, requests []Line) WorkspaceUse {
	use := WorkspaceUse{Workspace: name, Requests: len(requests)}
	reasons := make(map[string]int)
	for _, l := range requests {
		switch l.Fields["outcome"] {
		case outcomeServed:
			use.Served++
		case outcomeOverQuota:
			use.OverQuota++
		default:
			use.NotServed++
			reasons[cause(l)]++
		}
		use.LongestWait = max(use.LongestWait, l.milliseconds("quota_waited_ms"))
	}
	for reason, n := range reasons {
		if best := reasons[use.MainReason]; n > best || n == best && reason < use.MainReason {
			use.MainReason = reason
		}
	}
	seconds := bySecond(requests)
	for _, s := range seconds {
		use.Cost += s.Cost
		use.MaxPerSecond = max(use.MaxPerSecond, s.Cost)
	}
	use.CostPerSecond = float64(use.Cost) / (seconds[len(seconds)-1].At.Sub(seconds[0].At).Seconds() + 1)
	return use
}

// QuotaUse returns what a workspace used in each second with a request of its.
func QuotaUse(lines []Line, workspace string) []Second {
	return bySecond(slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return l.Kind != kindRequest || l.Fields["workspace"] != workspace
	}))
}

// bySecond counts requests by the second of their arrival, in which they were charged.
func bySecond(requests []Line) []Second {
	byTime := make(map[time.Time]*Second)
	for _, l := range requests {
		at := l.arrived().Truncate(time.Second)
		if byTime[at] == nil {
			byTime[at] = &Second{At: at}
		}
		s := byTime[at]
		s.Requests++
		cost, err := strconv.ParseInt(l.Fields["quota_cost"], 10, 64)
		if err == nil { // lines omit fields that do not apply
			s.Cost += cost
		}
		if l.Fields["outcome"] == outcomeOverQuota {
			s.OverQuota++
		}
	}
	seconds := make([]Second, 0, len(byTime))
	for _, s := range byTime {
		seconds = append(seconds, *s)
	}
	slices.SortFunc(seconds, func(a, b Second) int { return a.At.Compare(b.At) })
	return seconds
}
