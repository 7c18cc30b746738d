package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// TableCounts are the counters of a Table.
type TableCounts struct {
	Reads     int64 `json:"reads"`
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
}

// Table stands in for the table service. It is safe for concurrent use.
type Table struct {
	Faults FaultInjector
	mux    *http.ServeMux

	mu       sync.Mutex
	rows     map[string]external.Row
	revision int64

	reads, commits, conflicts atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: make(map[string]external.Row)}
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST /v1/commit", t.handleCommit)
	protocol.HandleFunc("GET /v1/rows", t.handleGet)
	protocol.HandleFunc("GET /v1/changes", t.handleChanges)
	t.mux = adminMux(&t.Faults, func() any { return t.Counts() }, protocol)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Counts returns the counters.
func (t *Table) Counts() TableCounts {
	return TableCounts{Reads: t.reads.Load(), Commits: t.commits.Load(), Conflicts: t.conflicts.Load()}
}

// Row returns the current row of a key; an absent one has Version 0.
func (t *Table) Row(key string) external.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key)
}

func (t *Table) row(key string) external.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return external.Row{Key: key}
}

// Commit applies a transaction, unless one of its version checks fails: it then
// changes nothing and returns the conflicting rows.
func (t *Table) Commit(txn external.Txn) external.TxnResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []external.Row
	for _, check := range txn.Checks {
		if row := t.row(check.Key); row.Version != check.Version {
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		t.conflicts.Add(1)
		return external.TxnResult{Conflicts: conflicts}
	}
	t.revision++
	for _, put := range txn.Puts {
		t.rows[put.Key] = external.Row{Key: put.Key, Value: put.Value, Version: t.revision, TxnID: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	t.commits.Add(1)
	return external.TxnResult{Committed: true, Version: t.revision}
}

// Changes returns the rows whose keys start with prefix and that were written after
// the given revision, by key.
func (t *Table) Changes(prefix string, after int64) external.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := external.Changes{Rows: []external.Row{}, Revision: t.revision}
	for key, row := range t.rows {
		if row.Version > after && strings.HasPrefix(key, prefix) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	slices.SortFunc(changes.Rows, func(a, b external.Row) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

func (t *Table) handleCommit(w http.ResponseWriter, r *http.Request) {
	var txn external.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	if txn.ID == "" {
		writeError(w, external.KindInvalid, "a transaction needs an id")
		return
	}
	writeJSON(w, t.Commit(txn))
}

func (t *Table) handleGet(w http.ResponseWriter, r *http.Request) {
	t.reads.Add(1)
	writeJSON(w, t.Row(r.URL.Query().Get("key")))
}

func (t *Table) handleChanges(w http.ResponseWriter, r *http.Request) {
	t.reads.Add(1)
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		writeError(w, external.KindInvalid, "after: "+err.Error())
		return
	}
	writeJSON(w, t.Changes(query.Get("prefix"), after))
}
