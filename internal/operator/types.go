// Package operator serves and calls the operators' API: publishing object sets,
// the state of the nodes, the reasons why requests waited, and draining hosts.
package operator

import (
	"encoding/json"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

// Revision describes one published revision.
type Revision struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Message  string `json:"message"`
	UnixMs   int64  `json:"unix_ms"`
	BodyKey  string `json:"body_key"`
}

// ValidateReply is the answer of /v1/validate.
type ValidateReply struct {
	Faults   config.Faults `json:"faults"`
	Warnings config.Faults `json:"warnings"`
}

// ApplyRequest is the body of /v1/apply.
type ApplyRequest struct {
	// Set is the object set, in the JSON that config.ParseSet reads.
	Set     json.RawMessage `json:"set"`
	Author  string          `json:"author"`
	Message string          `json:"message"`
	// ExpectRevision is the revision that the new one must follow; absent takes
	// the one in force.
	ExpectRevision *uint64 `json:"expect_revision,omitempty"`
	// TxnID makes a repeated request idempotent, together with ExpectRevision.
	TxnID string `json:"txn_id,omitempty"`
}

// ApplyReply is the answer of /v1/apply.
type ApplyReply struct {
	Revision Revision      `json:"revision"`
	Warnings config.Faults `json:"warnings"`
}

// ObjectsReply is the answer of /v1/objects.
type ObjectsReply struct {
	Revision Revision        `json:"revision"`
	Set      json.RawMessage `json:"set"`
}

// HistoryReply is the answer of /v1/history, the newest revision first.
type HistoryReply struct {
	Revisions []Revision `json:"revisions"`
}

// DiffReply is the answer of /v1/diff.
type DiffReply struct {
	Changes []config.Change `json:"changes"`
}

// NodeStatus is the state of one router or sidecar as one router knows it.
type NodeStatus struct {
	Host          string `json:"host"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// ConfigRevision is the revision that the node has confirmed; 0 is unknown.
	ConfigRevision uint64 `json:"config_revision"`
	TableRevision  int64  `json:"table_revision"`
	Draining       bool   `json:"draining"`
	// SeenAgoMs is the age of this state; -1 means that the node was never seen.
	SeenAgoMs int64 `json:"seen_ago_ms"`
	// Problem tells what is wrong with the node, or is empty.
	Problem string `json:"problem"`
}

// StatusReply is the answer of /v1/status.
type StatusReply struct {
	// Revision is the revision in force, as the answering router read it last.
	Revision Revision `json:"revision"`
	// TableRevision is that of the answering router's last read.
	TableRevision int64         `json:"table_revision"`
	Nodes         []NodeStatus  `json:"nodes"`
	WaitRecords   waitlog.Stats `json:"wait_records"`
}

// ExplainReply is the answer of /v1/explain/ID.
type ExplainReply struct {
	// Record is the wait record, in the JSON form of its proto message.
	Record    json.RawMessage `json:"record"`
	MainCause waitlog.Cause   `json:"main_cause"`
	// Lines is the timeline, one line for each step.
	Lines []string `json:"lines"`
}

// DrainReply is the answer of /v1/drain/HOST.
type DrainReply struct {
	Host     string `json:"host"`
	Draining bool   `json:"draining"`
	// SlotsHeld is the number of slots that the host still holds, as the
	// answering router knows it.
	SlotsHeld int `json:"slots_held"`
}
