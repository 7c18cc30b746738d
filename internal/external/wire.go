package external

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrorBody is the JSON body of a refused call. An answer with this body says
// that the call had no effect, but for KindUnavailable.
type ErrorBody struct {
	// Kind is the String of a Kind.
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// StatusOf returns the HTTP status under which a kind travels.
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

// refusal is the failure that an answer with a status other than 2xx reports.
type refusal struct {
	kind           Kind
	outcomeUnknown bool
	err            error
}

// readRefusal reads the answer of a refused call. A status without an ErrorBody
// may come from a balancer, so it leaves the outcome unknown, but for those
// that say that the call itself was wrong.
func readRefusal(resp *http.Response) refusal {
	// A body that is cut has no ErrorBody, so the status decides.
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var body ErrorBody
	if json.Unmarshal(raw, &body) == nil {
		if kind, ok := ParseKind(body.Kind); ok {
			return refusal{kind: kind, outcomeUnknown: kind == KindUnavailable, err: errors.New(body.Message)}
		}
	}
	err := fmt.Errorf("status %d: %.200q", resp.StatusCode, raw)
	switch status := resp.StatusCode; {
	case status == http.StatusNotFound:
		return refusal{kind: KindNotFound, err: err}
	case status == http.StatusTooManyRequests:
		return refusal{kind: KindOverloaded, err: err}
	case status >= 400 && status < 500:
		return refusal{kind: KindInvalid, err: err}
	case status == http.StatusServiceUnavailable:
		return refusal{kind: KindOverloaded, outcomeUnknown: true, err: err}
	default:
		return refusal{kind: KindUnavailable, outcomeUnknown: true, err: err}
	}
}
