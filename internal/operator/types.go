// Package operator implements the operator API: its HTTP server on each router
// and its client. Operators publish object sets, read the state of the nodes
// and drain hosts.
//
// An object set is the complete configuration of the deployment: models,
// versions, adapters, placements, priority classes and services. Each published
// set is a revision; revision numbers grow by one. A node is a router or an
// upstream host. A host that drains accepts no new work.
package operator

import (
	"encoding/json"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Revision describes a published revision.
type Revision struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Message  string `json:"message"`
	UnixMs   int64  `json:"unix_ms"`
	BodyKey  string `json:"body_key"`
}

// ValidateReply is the response to /v1/validate.
type ValidateReply struct {
	Problems config.Problems `json:"faults"`
	Warnings config.Problems `json:"warnings"`
}

// ApplyRequest is the request body of /v1/apply.
type ApplyRequest struct {
	// Set is the object set, in the JSON that config.ParseSet reads.
	Set     json.RawMessage `json:"set"`
	Author  string          `json:"author"`
	Message string          `json:"message"`
	// ExpectRevision is the revision that the new one must follow; by default
	// the one in force.
	ExpectRevision *uint64 `json:"expect_revision,omitempty"`
	// TxnID together with ExpectRevision makes repeated requests idempotent.
	TxnID string `json:"txn_id,omitempty"`
}

// ApplyReply is the response to /v1/apply.
type ApplyReply struct {
	Revision Revision        `json:"revision"`
	Warnings config.Problems `json:"warnings"`
}

// ObjectsReply is the response to /v1/objects.
type ObjectsReply struct {
	Revision Revision        `json:"revision"`
	Set      json.RawMessage `json:"set"`
}

// HistoryReply is the response to /v1/history, newest revision first.
type HistoryReply struct {
	Revisions []Revision `json:"revisions"`
}

// DiffReply is the response to /v1/diff.
type DiffReply struct {
	Changes []config.Change `json:"changes"`
}

// NodeStatus is the state of one router or upstream host.
type NodeStatus struct {
	Host          string `json:"host"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// ConfigRevision is the revision in force on a router; 0 if unknown.
	ConfigRevision uint64 `json:"config_revision"`
	Draining       bool   `json:"draining"`
	// Scheduler is true on the active scheduler.
	Scheduler bool `json:"scheduler"`
	// Problem is the error of a router that could not be queried, or empty.
	Problem string `json:"problem"`
}

// IsRouter reports whether the node is a router.
func (n NodeStatus) IsRouter() bool { return n.Role == string(external.RoleRouter) }

// StatusReply is the response to /v1/status.
type StatusReply struct {
	// Revision is the revision in force on the router that responds.
	Revision uint64       `json:"revision"`
	Nodes    []NodeStatus `json:"nodes"`
}

// DrainReply is the response to /v1/drain/HOST.
type DrainReply struct {
	Host     string `json:"host"`
	Draining bool   `json:"draining"`
}
