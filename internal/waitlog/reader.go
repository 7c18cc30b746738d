package waitlog

import (
	"context"
	"errors"
	"fmt"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
)

// NotFoundError means that there is no record of a request.
type NotFoundError struct {
	RequestID string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no record of request %q: a record is stored within a minute of the answer, so try again then; "+
		"it may also have expired, or the request was neither late nor in the sample", e.RequestID)
}

// BadIDError means that a text is no request id.
type BadIDError struct {
	Err error
}

// Error implements error.
func (e *BadIDError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *BadIDError) Unwrap() error { return e.Err }

// Reader reads the records of all routers. It is safe for concurrent use.
type Reader struct {
	objects external.ObjectStore
}

// NewReader makes a reader on the object store.
func NewReader(objects external.ObjectStore) *Reader {
	return &Reader{objects: objects}
}

// Explain returns the record of a request. It returns a *BadIDError, a
// *NotFoundError, a *BatchError or the error of the object store.
func (r *Reader) Explain(ctx context.Context, requestID string) (*apiv1.WaitRecord, error) {
	id, err := requestid.Parse(requestID)
	if err != nil {
		return nil, &BadIDError{Err: err}
	}
	keys, err := r.objects.List(ctx, routerPrefix(id.Router, id.Minute))
	if err != nil {
		return nil, fmt.Errorf("list the records of request %q: %w", requestID, err)
	}
	var unreadable error
	for _, key := range keys {
		records, err := r.batch(ctx, key)
		if isUnreadable(err) {
			unreadable = err // the record may be in another batch
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			if record.GetRequestId() == requestID {
				return record, nil
			}
		}
	}
	if unreadable != nil {
		return nil, unreadable
	}
	return nil, &NotFoundError{RequestID: requestID}
}

// BatchError means that a stored batch is damaged or has expired.
type BatchError struct {
	Key string
	Err error
}

// Error implements error.
func (e *BatchError) Error() string {
	return fmt.Sprintf("batch %s can't be read: its records are lost: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Err }

func isUnreadable(err error) bool {
	var bad *BatchError
	return errors.As(err, &bad)
}

// batch reads one batch. It returns a *BatchError or the error of the object
// store.
func (r *Reader) batch(ctx context.Context, key string) ([]*apiv1.WaitRecord, error) {
	body, err := r.objects.Get(ctx, key)
	if err != nil && external.KindOf(err) == external.KindNotFound {
		return nil, &BatchError{Key: key, Err: err}
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	records, err := decodeBatch(body)
	if err != nil {
		return nil, &BatchError{Key: key, Err: err}
	}
	return records, nil
}
