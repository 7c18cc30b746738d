package scheduler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// chainHash extends the hash of a chain of parts by one part.
func chainHash(chain uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(chain)
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(id)))
	_, _ = d.Write(size[:])  // never fails
	_, _ = d.WriteString(id) // never fails
	return d.Sum64()
}
