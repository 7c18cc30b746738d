package external

import "fmt"

// Keys of the table service. Every router polls the rows under LivePrefix.
const (
	LivePrefix  = "live/"
	SlotPrefix  = "live/slot/"
	LeasePrefix = "live/lease/"
	// EpochPrefix holds one row for each lease that changes only with the
	// holder, so that transactions can check it while the lease is renewed.
	EpochPrefix = "live/epoch/"
	DrainPrefix = "live/drain/"
	HeadKey     = "live/config/head"
	// HistoryPrefix holds one row for each published revision.
	HistoryPrefix = "config/history/"
	ClaimPrefix   = "claim/"
)

// SlotKey is the key of a slot row.
func SlotKey(model string, slot uint32) string {
	return fmt.Sprintf("%s%s/%d", SlotPrefix, model, slot)
}

// ShardLease is the name of the lease of a decision shard.
func ShardLease(shard uint32) string {
	return fmt.Sprintf("shard-%d", shard)
}

// PermitLease is the name of the lease of the weight store's permit allocator.
const PermitLease = "permits"

// LeaseKey is the key of the row of a lease.
func LeaseKey(name string) string { return LeasePrefix + name }

// EpochKey is the key of the epoch row of a lease.
func EpochKey(name string) string { return EpochPrefix + name }

// DrainKey is the key of a drain row.
func DrainKey(host string) string { return DrainPrefix + host }

// HistoryKey is the key of the history row of a revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, revision)
}

// ClaimKey is the key of a claim row.
func ClaimKey(service, idempotencyKey string) string {
	return ClaimPrefix + service + "/" + idempotencyKey
}
