// Package era makes the versions of a store comparable across its restores.
//
// A store that is restored from an older copy gives out the versions since that copy
// again, with other content. It counts its restores; the count is the era. A version is
// its era in the high bits and the store's own version, the sequence, in the low ones. So
// versions never decrease and are never given out twice. Stores that are never restored
// stay in era 0, where a version is the sequence itself.
package era

const sequenceBits = 40

// Max is the highest era of a version.
const Max = 1<<(62-sequenceBits) - 1

// Version returns the version for a sequence of an era. Sequence 0 stands for nothing,
// such as an absent row, in each era: its version is 0.
func Version(era, sequence int64) int64 {
	if sequence == 0 {
		return 0
	}
	return era<<sequenceBits | sequence
}

// Of returns the era of a version.
func Of(version int64) int64 { return version >> sequenceBits }

// Sequence returns the store's own version of a version.
func Sequence(version int64) int64 { return version & (1<<sequenceBits - 1) }
