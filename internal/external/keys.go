package external

import "fmt"

// Keys of the table service.
const (
	DrainPrefix = "live/drain/"
	HeadKey     = "live/config/head"
	// HistoryPrefix holds one row for each published revision.
	HistoryPrefix = "config/history/"
)

// DrainKey is the key of a drain row.
func DrainKey(host string) string { return DrainPrefix + host }

// HistoryKey is the key of the history row of a revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, revision)
}
