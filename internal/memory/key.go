package memory

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxKeyBytes is the length up to which a name is its own key.
const maxKeyBytes = 64

// Key returns what stands for a name that others chose, in state that outlives their request: the name,
// or a digest if it is longer than maxKeyBytes.
func Key(name string) string {
	if len(name) <= maxKeyBytes {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return "sha256-" + hex.EncodeToString(digest[:])[:2*sha256.Size-16]
}
