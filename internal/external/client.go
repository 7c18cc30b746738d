package external

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	defaultCallTimeout = time.Second
	// readTries limits the calls of one read, the first one included.
	readTries = 4
	// maxErrorBody is the number of bytes read of a failure's answer.
	maxErrorBody = 4 << 10
	// maxAnswerBody is the number of bytes read of a whole answer.
	maxAnswerBody = 256 << 20
)

// ClientOptions configure the client of one service of the platform.
type ClientOptions struct {
	// BaseURL is where the service listens, "http://IP:PORT".
	BaseURL string
	// CallTimeout limits one try of a call. Default 1 s.
	CallTimeout time.Duration
	// Budget limits the retries of reads. Nil sets no limit.
	Budget *retry.Budget
	// HTTP replaces the client's own *http.Client. With a transport other than
	// NewTransport's, every failure after a connection was had counts as sent.
	HTTP *http.Client
}

// client sends the calls of one service.
type client struct {
	base    string
	timeout time.Duration
	budget  *retry.Budget
	http    *http.Client
	name    string
}

func newClient(name string, o ClientOptions) *client {
	c := &client{
		base:    strings.TrimSuffix(o.BaseURL, "/"),
		timeout: o.CallTimeout,
		budget:  o.Budget,
		http:    o.HTTP,
		name:    name,
	}
	if c.timeout <= 0 {
		c.timeout = defaultCallTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: NewTransport(), CheckRedirect: noRedirect}
	}
	return c
}

// noRedirect returns a redirect to the caller, so that no call is sent twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// CloseIdleConnections closes the connections that no call uses.
func (c *client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// read repeats a call that changes nothing, within the budget and ctx. Its
// outcome is never unknown.
func (c *client) read(ctx context.Context, call func(context.Context) error) error {
	policy := retry.Policy{MaxTries: readTries, Retryable: isTransient}
	err := retry.Do(ctx, policy, c.budget, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return call(ctx)
	})
	return withOutcome(err, false)
}

// withOutcome sets OutcomeUnknown and puts a spent budget inside the *Error.
func withOutcome(err error, unknown bool) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	result := *e
	result.OutcomeUnknown = unknown
	var spent *retry.BudgetError
	if errors.As(err, &spent) {
		result.Err = &retry.BudgetError{Tries: spent.Tries, Err: e.Err}
	}
	return &result
}

// isTransient reports whether a repeated read may succeed.
func isTransient(err error) bool {
	kind := KindOf(err)
	return kind == KindUnavailable || kind == KindOverloaded
}

// idempotentWrite repeats a write that has the same effect however often it is
// applied. Its outcome stays unknown when any of the tries may have arrived.
func (c *client) idempotentWrite(ctx context.Context, k call) error {
	maybeSent := false
	policy := retry.Policy{MaxTries: readTries, Retryable: isTransient}
	err := retry.Do(ctx, policy, c.budget, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		err := c.json(ctx, k, nil)
		maybeSent = maybeSent || OutcomeUnknown(err)
		return err
	})
	return withOutcome(err, maybeSent)
}
