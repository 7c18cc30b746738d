package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"
)

// DeltaPrefix is the object-store key prefix of deltas.
const DeltaPrefix = "config/delta/"

// deltaDictID is the zstd dictionary ID of the base body.
const deltaDictID = 1

// Bounds of the zstd window of a delta.
const (
	minWindowBytes = 64 << 10
	maxWindowBytes = 64 << 20
)

// errDeltaMismatch means that applying a delta gave another body than expected.
var errDeltaMismatch = errors.New("delta does not produce the body that the head row names")

// DeltaKey returns the object-store key of the delta that turns the body at
// baseKey into the body at nextKey.
func DeltaKey(baseKey, nextKey string) string {
	base := strings.TrimPrefix(baseKey, BodyPrefix)
	next := strings.TrimPrefix(nextKey, BodyPrefix)
	return DeltaPrefix + next + "-" + base
}

// encodeDelta compresses next with base as the dictionary, so that the result
// contains little more than the differences. Both are uncompressed bodies.
func encodeDelta(base, next []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderDictRaw(deltaDictID, base),
		zstd.WithWindowSize(deltaWindow(len(base)+len(next))))
	if err != nil {
		return nil, fmt.Errorf("prepare delta: %w", err)
	}
	defer w.Close()
	return w.EncodeAll(next, nil), nil
}

// deltaWindow returns the window size in bytes for a base and a next body of total
// bytes together: the smallest power of two that reaches from the end of the next
// body back to the start of the base, within the bounds.
func deltaWindow(total int) int {
	window := minWindowBytes
	for window < total && window < maxWindowBytes {
		window *= 2
	}
	return window
}

// applyDelta applies a delta to an uncompressed base body and returns the
// uncompressed next body.
func applyDelta(base, delta []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxBodyBytes),
		zstd.WithDecoderDictRaw(deltaDictID, base))
	if err != nil {
		return nil, fmt.Errorf("prepare delta: %w", err)
	}
	defer r.Close()
	next, err := r.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("apply delta: %w", err)
	}
	return next, nil
}
