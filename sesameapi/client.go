package sesameapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ClientOptions are the settings of a client. Zero values mean the defaults;
// at least one address is required.
type ClientOptions struct {
	// Addresses are those of entries, or of a load balancer in front of them,
	// such as http://10.0.0.1:8080.
	Addresses []string
	// Token is the access token of a team or an operator, sent as the Bearer
	// token.
	Token string
	// HTTP sends the requests; nil means a client without a timeout of its own.
	HTTP *http.Client
	// Clock times the back-off between tries; nil means the real clock.
	Clock clockwork.Clock
	// MaxTries bounds the requests that one call sends: the first and its
	// retries; 0 means 6.
	MaxTries int
	// Timeout bounds one request; 0 means 15 seconds. The timeout of a long
	// poll is longer by its wait; the transfer of a result has none.
	Timeout time.Duration
}

// The defaults of ClientOptions, the range of the back-off between the tries of a
// call, and the bound on a response.
const (
	defaultMaxTries      = 6
	defaultClientTimeout = 15 * time.Second
	initialRetryDelay    = 200 * time.Millisecond
	maxRetryDelay        = 5 * time.Second
	maxResponseBytes     = 64 << 20
)

// Client calls the HTTP interface. When one entry doesn't respond it tries the
// next; it may, because every call of the interface is idempotent. It is safe for
// concurrent use.
type Client struct {
	options ClientOptions
	// next, modulo the number of addresses, is the index of the address to use.
	// It is incremented after each failed try.
	next atomic.Uint64
}

// NewClient returns a client with the options. It sends nothing.
func NewClient(o ClientOptions) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.MaxTries == 0 {
		o.MaxTries = defaultMaxTries
	}
	if o.Timeout == 0 {
		o.Timeout = defaultClientTimeout
	}
	return &Client{
		options: o,
	}
}

// UnreachableError says that no entry responded to a call.
type UnreachableError struct {
	// Address is the entry that was tried last.
	Address string
	// Tries is how many requests the call sent.
	Tries int
	// MaybeReceived is true when a request may have reached an entry, so that
	// its outcome is unknown. Repeating the call is safe.
	MaybeReceived bool
	Cause         error
}

// Error names the last address and the cause.
func (e *UnreachableError) Error() string {
	if e.MaybeReceived {
		return fmt.Sprintf("no response from %s after %d tries, the outcome is unknown: %v", e.Address, e.Tries, e.Cause)
	}
	return fmt.Sprintf("cannot connect to any entry, last tried %s, %d tries: %v", e.Address, e.Tries, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// InvalidResponseError says that a response is not of the form that the interface
// defines, such as the error page of a proxy.
type InvalidResponseError struct {
	// Address is the entry that responded; empty if a request body could not be
	// encoded.
	Address string
	// Status is the HTTP status code.
	Status int
	Cause  error
}

// Error names the address, the status and the cause.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("cannot decode the response of %s with status %d: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error {
	return e.Cause
}

// call is one request of the interface, which may be sent several times.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// timeout bounds one try; 0 means none.
	timeout time.Duration
}

// reply is a response whose body is still open.
type reply struct {
	// address is that of the entry that responded.
	address  string
	response *http.Response
	// cancel ends the request's context and so the transfer of the body.
	cancel context.CancelFunc
}

// close closes the body and ends the request's context.
func (r *reply) close() {
	_ = r.response.Body.Close()
	r.cancel()
}

// tryRecord is the number and the effect of the requests of one call so far.
type tryRecord struct {
	// count is the number of requests sent.
	count int
	// maybeReceived is true when a request that got no response may have taken
	// effect.
	maybeReceived bool
}

// do sends the call, with back-off and to other entries after failures, until it
// gets a response that a retry can't improve or MaxTries is reached. The error is
// a *ProblemError or an *UnreachableError.
func (c *Client) do(ctx context.Context, k call) (*reply, tryRecord, error) {
	var (
		t       tryRecord
		lastErr error
		address string
		delays  = c.newBackoff()
	)
	for t.count < c.options.MaxTries {
		if t.count > 0 {
			if err := c.sleep(ctx, delays.NextBackOff(), lastErr); err != nil {
				break
			}
		}
		t.count++
		address = c.address()
		answer, err := c.try(ctx, address, k)
		if err == nil {
			return answer, t, nil
		}
		lastErr = err
		t.maybeReceived = t.maybeReceived || mayHaveTakenEffect(err)
		c.next.Add(1)
		if !retryable(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, t, callError(t, address, lastErr)
}

// newBackoff returns the exponential back-off between the tries of a call.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	delays.Reset()
	return delays
}

// sleep waits for the delay. With a single address, which the next try has to use
// again, it waits at least the Retry-After of the last response. It returns the
// context's error when the context ends before.
func (c *Client) sleep(ctx context.Context, delay time.Duration, lastErr error) error {
	var problem *ProblemError
	if errors.As(lastErr, &problem) && len(c.options.Addresses) == 1 {
		delay = max(delay, problem.Problem.RetryAfter)
	}
	timer := c.options.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callError returns the error of a call whose last try, at the address, failed
// with lastErr.
func callError(t tryRecord, address string, lastErr error) error {
	var problem *ProblemError
	if errors.As(lastErr, &problem) {
		return problem.afterTries(t)
	}
	return &UnreachableError{
		Address:       address,
		Tries:         t.count,
		MaybeReceived: t.maybeReceived,
		Cause:         lastErr,
	}
}

// afterTries changes the outcome Unchanged to Unsure when an earlier try of the
// same call may have taken effect.
func (e *ProblemError) afterTries(t tryRecord) *ProblemError {
	if e.Problem.Outcome == Unchanged && t.maybeReceived {
		return e.withOutcome(Unsure, e.Problem.Job)
	}
	return e
}

// address returns the address that the next try uses.
func (c *Client) address() string {
	return c.options.Addresses[c.next.Load()%uint64(len(c.options.Addresses))]
}

// try sends the call once to the entry at the address. A response with an error status is returned as a
// *ProblemError, or as an *InvalidResponseError if its body is no problem.
func (c *Client) try(ctx context.Context, address string, k call) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	if k.timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, k.timeout)
	}
	request, err := c.request(ctx, address, k)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.options.HTTP.Do(request) //nolint:bodyclose // closed with the reply
	if err != nil {
		cancel()
		return nil, err
	}
	answer := &reply{
		address:  address,
		response: response,
		cancel:   cancel,
	}
	if response.StatusCode < http.StatusBadRequest {
		return answer, nil
	}
	defer answer.close()
	return nil, readProblem(answer)
}

// request returns the HTTP request that sends the call to that address.
func (c *Client) request(ctx context.Context, address string, k call) (*http.Request, error) {
	target := address + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	if len(k.body) > 0 {
		request.Header.Set("Content-Type", jsonContentType)
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

// readProblem returns the problem in an error response, with its Retry-After.
func readProblem(answer *reply) error {
	body, err := io.ReadAll(io.LimitReader(answer.response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	problem := &ProblemError{}
	if err := json.Unmarshal(body, &problem.Problem); err != nil || problem.Problem.Type == "" {
		return &InvalidResponseError{
			Address: answer.address,
			Status:  answer.response.StatusCode,
			Cause:   err,
		}
	}
	if seconds, err := strconv.Atoi(answer.response.Header.Get("Retry-After")); err == nil {
		problem.Problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return problem
}

// retryable reports whether a try on another entry or a later one may succeed. It
// may after a failure without a problem in the response, such as a lost
// connection, and after status 502, 503 or 504, unless the stored result is
// damaged: all entries read the same object.
func retryable(err error) bool {
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Problem.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return problem.Problem.Type != ResultDamaged
	}
	return false
}

// mayHaveTakenEffect reports whether a failed try may have changed something. It
// has not if the connection could not be opened, or if the response says so by
// its outcome or by a status below 500.
func mayHaveTakenEffect(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.Outcome == Unsure || problem.Problem.Status >= http.StatusInternalServerError && problem.Problem.Outcome == Pending
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// fetch sends the call and decodes the response. It also returns the HTTP status,
// 0 without a successful response, and the record of the tries. The error is a
// *ProblemError, *UnreachableError or *InvalidResponseError.
func fetch[T any](ctx context.Context, c *Client, k call) (T, int, tryRecord, error) {
	var value T
	if k.timeout == 0 {
		k.timeout = c.options.Timeout
	}
	answer, t, err := c.do(ctx, k)
	if err != nil {
		return value, 0, t, err
	}
	defer answer.close()
	status := answer.response.StatusCode
	if err := json.NewDecoder(io.LimitReader(answer.response.Body, maxResponseBytes)).Decode(&value); err != nil {
		return value, status, t, &InvalidResponseError{
			Address: answer.address,
			Status:  status,
			Cause:   err,
		}
	}
	return value, status, t, nil
}

// marshal encodes a request body; the error is an *InvalidResponseError.
func marshal(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, &InvalidResponseError{
			Cause: err,
		}
	}
	return body, nil
}
