package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// BodyPrefix is the object-store key prefix of bodies. The rest of a key is the
// SHA-256 of the stored, compressed bytes in hexadecimal.
const BodyPrefix = "config/body/"

// maxBodyBytes limits the size of a decompressed body.
const maxBodyBytes = 256 << 20

// EncodeAll and DecodeAll are safe for concurrent use. The constructors fail only
// for invalid options, and these options are constants.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxBodyBytes))
)

// BodyError reports a stored body that is corrupt.
type BodyError struct {
	Key     string
	Problem string
	Err     error // cause; may be nil
}

// Error implements error.
func (e *BodyError) Error() string {
	msg := fmt.Sprintf("body %s: %s", e.Key, e.Problem)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg + " (publish the set again, or roll back to an earlier revision)"
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// EncodeSet returns the body of a set: its deterministic protobuf encoding,
// compressed with zstd. Within one release, equal sets give equal bodies.
func EncodeSet(set *apiv1.ObjectSet) ([]byte, error) {
	uncompressed, err := marshalSet(set)
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(uncompressed, nil), nil
}

func marshalSet(set *apiv1.ObjectSet) ([]byte, error) {
	uncompressed, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("encode object set: %w", err)
	}
	return uncompressed, nil
}

// DecodeSet decodes a body made by EncodeSet.
func DecodeSet(stored []byte) (*apiv1.ObjectSet, error) {
	uncompressed, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress object set: %w", err)
	}
	return unmarshalSet(uncompressed)
}

func unmarshalSet(uncompressed []byte) (*apiv1.ObjectSet, error) {
	set := &apiv1.ObjectSet{}
	if err := proto.Unmarshal(uncompressed, set); err != nil {
		return nil, fmt.Errorf("decode object set: %w", err)
	}
	return set, nil
}

// BodyKey returns the object-store key of a compressed body.
func BodyKey(stored []byte) string {
	sum := sha256.Sum256(stored)
	return BodyPrefix + hex.EncodeToString(sum[:])
}

// LoadBody reads the body that a head row names, verifies its hash and indexes
// the set. The error wraps a *BodyError for a corrupt body, otherwise the error
// of the object store. A Loader reads less data when it follows successive
// revisions.
func LoadBody(ctx context.Context, objects external.ObjectStore, head *apiv1.HeadRow) (*Index, error) {
	return NewLoader(objects).Load(ctx, head)
}

// decodeBody verifies the hash of a stored body and decodes it.
func decodeBody(key string, stored []byte) (*body, error) {
	if BodyKey(stored) != key {
		return nil, &BodyError{Key: key, Problem: "content does not match its hash"}
	}
	uncompressed, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, &BodyError{Key: key, Problem: "can't be decompressed", Err: err}
	}
	return newBody(key, uncompressed)
}

func newBody(key string, uncompressed []byte) (*body, error) {
	set, err := unmarshalSet(uncompressed)
	if err != nil {
		return nil, &BodyError{Key: key, Problem: "can't be decoded", Err: err}
	}
	return &body{key: key, uncompressed: uncompressed, set: set}, nil
}
