package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"
)

// DeltaPrefix is the prefix of the deltas' keys in the object store.
const DeltaPrefix = "config/delta/"

// deltaDictID marks the base of a delta within zstd.
const deltaDictID = 1

// Bounds of the window of a delta.
const (
	minWindowBytes = 64 << 10
	maxWindowBytes = 64 << 20
)

// errNoDelta means that a delta does not lead to the wanted body.
var errNoDelta = errors.New("delta does not lead to the body that the head row names")

// DeltaKey is the key of the delta that turns one body into another.
func DeltaKey(baseKey, nextKey string) string {
	base := strings.TrimPrefix(baseKey, BodyPrefix)
	next := strings.TrimPrefix(nextKey, BodyPrefix)
	return DeltaPrefix + next + "-" + base
}

// encodeDelta compresses next with base as the dictionary, so that it holds
// little more than what differs. Both are uncompressed bodies.
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

// deltaWindow is the smallest window that reaches from the end of the next body
// back to the start of the base.
func deltaWindow(total int) int {
	window := minWindowBytes
	for window < total && window < maxWindowBytes {
		window *= 2
	}
	return window
}

// applyDelta returns the uncompressed body that a delta makes of base.
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
