// Package workspace knows the workspaces of callers, their keys and their quotas. It does no I/O.
// Keys are kept as digests: what a process holds or sends to another router lets nobody call.
package workspace

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Limits of what a workspace may be configured with.
const (
	maxNameBytes = 256
	maxKeyBytes  = 4096
	maxPriority  = 1 << 20
	// maxAmount limits rates, bursts and the cost of a request.
	maxAmount = 1 << 40
)

// Key is the digest of a caller's key. The zero Key is that of no key.
type Key [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) Key { return sha256.Sum256([]byte(key)) }

// ParseBearer reads the values of an Authorization header. It reports false if they are not one
// bearer token.
func ParseBearer(values []string) (Key, bool) {
	if len(values) != 1 {
		return Key{}, false
	}
	scheme, token, ok := strings.Cut(strings.Trim(values[0], " \t"), " ")
	token = strings.TrimLeft(token, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || checkKey(token) != nil {
		return Key{}, false
	}
	return DigestKey(token), true
}

// checkKey returns an error, without the key, if no header can carry it as a bearer token.
func checkKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return fmt.Errorf("a key of %d bytes: it must have 1 to %d", len(key), maxKeyBytes)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return errors.New("a key has a character other than visible ASCII")
		}
	}
	return nil
}

// Quota bounds what the requests of a workspace cost, over all routers. The zero Quota is no
// bound.
type Quota struct {
	// PerSecond and Burst are the cost per second and at once.
	PerSecond, Burst float64
	// CountsTokens is set if a request costs its tokens, and not 1. PlainCost is the cost of a
	// request that does not tell them.
	CountsTokens bool
	PlainCost    int64
}

// IsLimited reports whether the quota bounds anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns the cost of a request, 1 or more. told is false if it does not tell its tokens.
func (q Quota) Cost(tokens int64, told bool) int64 {
	if !q.CountsTokens {
		return 1
	}
	if !told {
		tokens = q.PlainCost
	}
	return min(max(1, tokens), maxAmount)
}

// Workspace is a group of callers that share keys, a rank and a quota.
type Workspace struct {
	Name string
	// Priority goes before that of the route; nil for the route's own.
	Priority *int
	Keys     []Key
	Quota    Quota
}

// Check returns an error if a workspace can't be used. It never contains a key.
func (w *Workspace) Check() error {
	if w.Name == "" || len(w.Name) > maxNameBytes {
		return fmt.Errorf("workspace %.32q: a name must have 1 to %d bytes", w.Name, maxNameBytes)
	}
	if strings.TrimSpace(w.Name) != w.Name || strings.ContainsFunc(w.Name, func(r rune) bool { return r < ' ' || r > '~' }) {
		return fmt.Errorf("workspace %q: a name must be printable ASCII without blanks at its ends", w.Name)
	}
	if w.Priority != nil && (*w.Priority < 0 || *w.Priority > maxPriority) {
		return fmt.Errorf("workspace %q: priority %d is not from 0 to %d", w.Name, *w.Priority, maxPriority)
	}
	for _, amount := range []struct {
		name  string
		value float64
	}{{"rate", w.Quota.PerSecond}, {"burst", w.Quota.Burst}, {"cost without tokens", float64(w.Quota.PlainCost)}} {
		if !(amount.value >= 0 && amount.value <= maxAmount) || math.IsNaN(amount.value) {
			return fmt.Errorf("workspace %q: %s %g is not from 0 to %d", w.Name, amount.name, amount.value, int64(maxAmount))
		}
	}
	return nil
}

// CheckKeys returns an error, without the keys, if one of them can't be sent by a caller.
func CheckKeys(name string, keys []string) error {
	for i, key := range keys {
		if err := checkKey(key); err != nil {
			return fmt.Errorf("workspace %q: key %d: %w", name, i, err)
		}
	}
	return nil
}
