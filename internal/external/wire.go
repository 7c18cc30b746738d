package external

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrorBody is the JSON body of an error response. It states that the call had no
// effect, except with KindUnavailable.
type ErrorBody struct {
	// Kind is the String of a Kind.
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// StatusOf returns the HTTP status of error responses of a kind.
func StatusOf(kind Kind) int {
	switch kind {
	case KindNotFound:
		return http.StatusNotFound
	case KindFenced:
		return http.StatusConflict
	case KindNoMemory:
		return http.StatusInsufficientStorage
	case KindInvalid:
		return http.StatusBadRequest
	case KindOverloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// responseError is the failure that a response with a status other than 2xx reports.
type responseError struct {
	kind           Kind
	outcomeUnknown bool
	err            error
}

// readResponseError reads an error response. A response without an ErrorBody may
// come from a load balancer, so the outcome is unknown, except with a 4xx status,
// which means that the call was rejected.
func readResponseError(resp *http.Response) responseError {
	// A truncated body does not parse as an ErrorBody, so the status decides.
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	var body ErrorBody
	if json.Unmarshal(raw, &body) == nil {
		if kind, ok := ParseKind(body.Kind); ok {
			return responseError{kind: kind, outcomeUnknown: kind == KindUnavailable, err: errors.New(body.Message)}
		}
	}
	err := fmt.Errorf("status %d: %.200q", resp.StatusCode, raw)
	switch status := resp.StatusCode; {
	case status == http.StatusNotFound:
		return responseError{kind: KindNotFound, err: err}
	case status == http.StatusTooManyRequests:
		return responseError{kind: KindOverloaded, err: err}
	case status >= 400 && status < 500:
		return responseError{kind: KindInvalid, err: err}
	case status == http.StatusServiceUnavailable:
		return responseError{kind: KindOverloaded, outcomeUnknown: true, err: err}
	default:
		return responseError{kind: KindUnavailable, outcomeUnknown: true, err: err}
	}
}
