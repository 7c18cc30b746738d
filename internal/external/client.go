package external

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/progress"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	defaultCallTimeout = time.Second
	// maxAttemptTime ends an attempt that still moves data.
	maxAttemptTime = 15 * time.Second
	// maxReadAttempts includes the first attempt.
	maxReadAttempts = 4
	// maxErrorBodyBytes limits the bytes read of an error response.
	maxErrorBodyBytes = 4 << 10
	// maxResponseBytes limits the bytes read of a successful response.
	maxResponseBytes = 256 << 20
)

// ClientOptions configure the client of one platform service.
type ClientOptions struct {
	// BaseURL is the address of the service, "http://IP:PORT".
	BaseURL string
	// CallTimeout limits a commit or an order, and how long one attempt of another call
	// may move no data. Default 1 s.
	CallTimeout time.Duration
	// Budget limits retries. Nil sets no limit.
	Budget *retry.Budget
	// HTTP replaces the default *http.Client. With a transport other than
	// NewTransport's, every failure after a connection was obtained counts as
	// possibly sent.
	HTTP *http.Client
}

// client sends calls to one platform service.
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

// noRedirect returns redirects as responses, so that no call is sent twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// read retries a call without side effects within the retry budget and ctx. Its
// errors never have OutcomeUnknown set.
func (c *client) read(ctx context.Context, call func(context.Context) error) error {
	policy := retry.Policy{MaxTries: maxReadAttempts, Retryable: isTransient}
	err := retry.Do(ctx, policy, c.budget, func(ctx context.Context) error {
		return c.attempt(ctx, call)
	})
	return withOutcomeUnknown(err, false)
}

// attempt makes one attempt of a call that may move much data.
func (c *client) attempt(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, maxAttemptTime)
	defer cancel()
	ctx, watch := progress.WithTimeout(ctx, c.timeout)
	defer watch.Stop()
	err := watch.Err(call(ctx))
	if err != nil && ctx.Err() != nil {
		c.CloseIdleConnections() // they may have gone silent, too
	}
	return err
}

// withOutcomeUnknown returns a copy of the *Error in err with OutcomeUnknown set
// to unknown. A *retry.BudgetError around it moves inside, as its cause.
func withOutcomeUnknown(err error, unknown bool) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	result := *e
	result.OutcomeUnknown = unknown
	var exhausted *retry.BudgetError
	if errors.As(err, &exhausted) {
		result.Err = &retry.BudgetError{Tries: exhausted.Tries, Err: e.Err}
	}
	return &result
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	kind := KindOf(err)
	return kind == KindUnavailable || kind == KindOverloaded
}

// idempotentWrite retries a write that has the same effect however often it is
// applied. OutcomeUnknown is set when any attempt may have reached the server.
func (c *client) idempotentWrite(ctx context.Context, k call) error {
	maybeSent := false
	policy := retry.Policy{MaxTries: maxReadAttempts, Retryable: isTransient}
	err := retry.Do(ctx, policy, c.budget, func(ctx context.Context) error {
		err := c.attempt(ctx, func(ctx context.Context) error { return c.fetchJSON(ctx, k, nil) })
		maybeSent = maybeSent || OutcomeUnknown(err)
		return err
	})
	return withOutcomeUnknown(err, maybeSent)
}
