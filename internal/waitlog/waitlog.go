// Package waitlog stores and reads the records that tell why requests waited.
//
// Records are stored in batches under "waits/MINUTE/ROUTER/SERIAL". MINUTE and
// ROUTER are those of the request id, so that a record is found without an
// index, and the minute comes first, so that a time range is read without a
// list of the routers that were alive in it.
package waitlog

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// prefix is the prefix of all batches in the object store.
const prefix = "waits/"

// maxBatchBytes bounds a decompressed batch.
const maxBatchBytes = 64 << 20

// Both are safe for concurrent use by EncodeAll and DecodeAll.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxBatchBytes))
)

// minutePrefix is the prefix of the batches of one minute.
func minutePrefix(minute int64) string {
	return fmt.Sprintf("%s%010d/", prefix, minute)
}

// routerPrefix is the prefix of the batches of one router and minute.
func routerPrefix(router string, minute int64) string {
	return minutePrefix(minute) + router + "/"
}

func encodeBatch(records []*apiv1.WaitRecord) ([]byte, error) {
	plain, err := proto.Marshal(&apiv1.WaitBatch{Records: records})
	if err != nil {
		return nil, fmt.Errorf("encode wait records: %w", err)
	}
	return encoder.EncodeAll(plain, nil), nil
}

func decodeBatch(body []byte) ([]*apiv1.WaitRecord, error) {
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress wait records: %w", err)
	}
	batch := &apiv1.WaitBatch{}
	if err := proto.Unmarshal(plain, batch); err != nil {
		return nil, fmt.Errorf("decode wait records: %w", err)
	}
	return batch.GetRecords(), nil
}

// Wait is the time until the first token or byte, or the total time of a
// request that got none, in milliseconds.
func Wait(r *apiv1.WaitRecord) uint32 {
	if r.GetOutcome() != apiv1.Outcome_OUTCOME_SERVED {
		return r.GetTotalMs()
	}
	return r.GetFirstTokenMs()
}

// IsLate reports whether a request waited longer than lateMs or was not served.
func IsLate(r *apiv1.WaitRecord, lateMs uint32) bool {
	return r.GetOutcome() != apiv1.Outcome_OUTCOME_SERVED || Wait(r) > lateMs
}
