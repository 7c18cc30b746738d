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

// BodyPrefix is the prefix of the bodies' keys in the object store. The rest
// of a key is the SHA-256 of the stored bytes in hexadecimal.
const BodyPrefix = "config/body/"

// maxBodyBytes bounds a decompressed body.
const maxBodyBytes = 256 << 20

// Both are safe for concurrent use by EncodeAll and DecodeAll. Only options out
// of range fail, and these are constants.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxBodyBytes))
)

// BodyError means that the stored body of a revision can't be used.
type BodyError struct {
	Key     string
	Problem string
	Err     error
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

// EncodeSet returns the stored form of a set: deterministic proto, compressed
// with zstd.
func EncodeSet(set *apiv1.ObjectSet) ([]byte, error) {
	plain, err := marshalSet(set)
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(plain, nil), nil
}

func marshalSet(set *apiv1.ObjectSet) ([]byte, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("encode object set: %w", err)
	}
	return plain, nil
}

// DecodeSet reads what EncodeSet wrote.
func DecodeSet(stored []byte) (*apiv1.ObjectSet, error) {
	plain, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress object set: %w", err)
	}
	return unmarshalSet(plain)
}

func unmarshalSet(plain []byte) (*apiv1.ObjectSet, error) {
	set := &apiv1.ObjectSet{}
	if err := proto.Unmarshal(plain, set); err != nil {
		return nil, fmt.Errorf("decode object set: %w", err)
	}
	return set, nil
}

// BodyKey is the key of a stored body.
func BodyKey(stored []byte) string {
	sum := sha256.Sum256(stored)
	return BodyPrefix + hex.EncodeToString(sum[:])
}

// LoadBody reads the set that a head row names, verifies its hash and indexes
// it. A body that is damaged gives a *BodyError, any other failure the error of
// the object store. A Loader reads less when it follows successive revisions.
func LoadBody(ctx context.Context, objects external.ObjectStore, head *apiv1.HeadRow) (*Index, error) {
	return NewLoader(objects).Load(ctx, head)
}

// openBody verifies and decodes a stored body.
func openBody(key string, stored []byte) (*body, error) {
	if BodyKey(stored) != key {
		return nil, &BodyError{Key: key, Problem: "content does not match its hash"}
	}
	plain, err := decoder.DecodeAll(stored, nil)
	if err != nil {
		return nil, &BodyError{Key: key, Problem: "can't be decompressed", Err: err}
	}
	return newBody(key, plain)
}

func newBody(key string, plain []byte) (*body, error) {
	set, err := unmarshalSet(plain)
	if err != nil {
		return nil, &BodyError{Key: key, Problem: "can't be decoded", Err: err}
	}
	return &body{key: key, plain: plain, set: set}, nil
}
