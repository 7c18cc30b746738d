// Package operator serves and calls the operators' API: publishing object sets,
// the state of the nodes, and draining hosts.
package operator

import (
	"encoding/json"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
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
	Problems config.Problems `json:"faults"`
	Warnings config.Problems `json:"warnings"`
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
	Revision Revision        `json:"revision"`
	Warnings config.Problems `json:"warnings"`
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

// NodeStatus is the state of one router or upstream host.
type NodeStatus struct {
	Host          string `json:"host"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// ConfigRevision is the revision in force on a router; 0 is unknown.
	ConfigRevision uint64 `json:"config_revision"`
	Draining       bool   `json:"draining"`
	// Scheduler is set on the router that schedules.
	Scheduler bool `json:"scheduler"`
	// Problem tells what is wrong with the node, or is empty.
	Problem string `json:"problem"`
}

// IsRouter reports whether the node is a router.
func (n NodeStatus) IsRouter() bool { return n.Role == string(external.RoleRouter) }

// StatusReply is the answer of /v1/status.
type StatusReply struct {
	// Revision is the revision in force, as the answering router knows it.
	Revision uint64       `json:"revision"`
	Nodes    []NodeStatus `json:"nodes"`
}

// DrainReply is the answer of /v1/drain/HOST.
type DrainReply struct {
	Host     string `json:"host"`
	Draining bool   `json:"draining"`
}
