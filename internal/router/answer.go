package router

import (
	"net/http"
	"strconv"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// maxBufferedBytes is the length up to which an answer is held back until it is
// whole. A longer one is passed on as it comes.
const maxBufferedBytes = 1 << 20

// answer is the answer of a plain service.
type answer struct {
	status  uint32
	headers []*apiv1.Header
	body    []byte
	// passing is true once a long answer is passed on as it comes.
	passing bool
}

// add takes the next part of the body.
func (a *answer) add(x *exchange, data []byte) *Error {
	if !a.passing && len(a.body)+len(data) <= maxBufferedBytes {
		a.body = append(a.body, data...)
		return nil
	}
	if !a.passing {
		a.begin(x)
		if err := a.pass(x, a.body); err != nil {
			return err
		}
	}
	return a.pass(x, data)
}

func (a *answer) begin(x *exchange) {
	a.passing = true
	x.start()
	setAnswerHeaders(x.w.Header(), a.headers)
	if length := a.header("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(int(a.status))
}

func (a *answer) pass(x *exchange, data []byte) *Error {
	if _, err := x.w.Write(data); err != nil {
		return callerGone(true)
	}
	if x.rc.Flush() != nil {
		return callerGone(true)
	}
	return nil
}

func (a *answer) header(name string) string {
	for _, h := range a.headers {
		if http.CanonicalHeaderKey(h.GetName()) == name {
			return h.GetValue()
		}
	}
	return ""
}

// write gives the caller a whole answer, unless it was passed on.
func (a *answer) write(x *exchange) *Error {
	if a.passing {
		return nil
	}
	x.firstByte()
	setAnswerHeaders(x.w.Header(), a.headers)
	if x.req.Method != http.MethodHead {
		return x.writeWhole(int(a.status), "", a.body)
	}
	x.start()
	if length, err := strconv.ParseInt(a.header("Content-Length"), 10, 64); err == nil && length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(int(a.status))
	return nil
}
